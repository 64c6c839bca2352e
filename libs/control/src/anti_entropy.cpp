#include "anti_entropy.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace boragefront::control {
namespace {

constexpr std::uint64_t bucket_seed = 1;

std::uint64_t hash_of(const config::held_revisions& held) {
    return stable_hash(held.key, stable_hash(std::to_string(held.newest), held.good));
}

// Appends what a peer lacks of a key. \returns whether there was room for it.
bool append_newer(const config::config_store& store, const config::held_revisions& mine,
                  const config::held_revisions& theirs, std::size_t& bytes,
                  std::vector<config::published_entry>& out) {
    for (auto& entry : store.entries_of(mine.key)) {
        const auto held = entry.number == mine.good ? theirs.good : theirs.newest;
        if (entry.number <= held) {
            continue;
        }
        const auto size = entry.key.size() + entry.value.size();
        if (!out.empty() && bytes + size > delta_bytes) {
            return false;
        }
        bytes += size;
        out.push_back(std::move(entry));
    }
    return true;
}

} // namespace

std::uint32_t bucket_of(std::string_view key, std::uint32_t bucket_count) {
    return static_cast<std::uint32_t>(stable_hash(key, bucket_seed) % bucket_count);
}

std::vector<std::uint64_t> digest_of(const config::config_store& store,
                                     std::uint32_t bucket_count) {
    std::vector<std::uint64_t> hashes(bucket_count);
    for (const auto& held : store.revisions()) {
        hashes[bucket_of(held.key, bucket_count)] += hash_of(held);
    }
    return hashes;
}

std::vector<std::uint32_t> differing(const std::vector<std::uint64_t>& left,
                                     const std::vector<std::uint64_t>& right) {
    std::vector<std::uint32_t> buckets;
    for (std::uint32_t i = 0; i < std::min(left.size(), right.size()); ++i) {
        if (left[i] != right[i]) {
            buckets.push_back(i);
        }
    }
    return buckets;
}

wire::delta_request make_delta_request(const config::config_store& store,
                                       std::vector<std::uint32_t> buckets,
                                       std::uint32_t bucket_count) {
    const std::set<std::uint32_t> asked{buckets.begin(), buckets.end()};
    wire::delta_request request;
    request.buckets = std::move(buckets);
    request.bucket_count = bucket_count;
    for (auto& held : store.revisions()) {
        if (asked.contains(bucket_of(held.key, bucket_count))) {
            request.held.push_back(std::move(held));
        }
    }
    return request;
}

wire::delta_answer answer_delta(const config::config_store& store,
                                const wire::delta_request& asked) {
    const std::set<std::uint32_t> buckets{asked.buckets.begin(), asked.buckets.end()};
    std::map<std::string, config::held_revisions> missing_here;
    for (const auto& held : asked.held) {
        missing_here[held.key] = held;
    }
    wire::delta_answer answer;
    answer.complete = true;
    std::size_t bytes = 0;
    for (const auto& mine : store.revisions()) {
        if (!buckets.contains(bucket_of(mine.key, asked.bucket_count))) {
            continue;
        }
        const auto found = missing_here.find(mine.key);
        const auto theirs =
            found == missing_here.end() ? config::held_revisions{mine.key} : found->second;
        if (answer.complete) {
            answer.complete = append_newer(store, mine, theirs, bytes, answer.entries);
        }
        if (found != missing_here.end() && theirs.newest <= mine.newest &&
            theirs.good <= mine.good) {
            missing_here.erase(found);
        }
    }
    for (const auto& [key, theirs] : missing_here) {
        answer.wanted.push_back(key);
    }
    return answer;
}

std::vector<config::published_entry> entries_for(const config::config_store& store,
                                                 const std::vector<std::string>& wanted) {
    std::vector<config::published_entry> entries;
    std::size_t bytes = 0;
    for (const auto& key : wanted) {
        for (auto& entry : store.entries_of(key)) {
            bytes += entry.key.size() + entry.value.size();
            if (!entries.empty() && bytes > delta_bytes) {
                return entries;
            }
            entries.push_back(std::move(entry));
        }
    }
    return entries;
}

} // namespace boragefront::control
