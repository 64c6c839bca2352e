#include "instance_table.hpp"

#include "anti_entropy.hpp"
#include "base/hash.hpp"

#include <algorithm>
#include <set>

namespace boragefront::control {
namespace {

// A list that lacks more than this share of the believed instances is doubted.
constexpr double doubted_share = 0.3;
constexpr seconds grace_of_few{20};
constexpr seconds grace_of_many{300};
constexpr seconds heard_lately{5};

using instance_map = std::map<std::string, membership::instance>;

std::uint64_t hash_of(const membership::instance& one) {
    auto hash = stable_hash(one.id, static_cast<std::uint64_t>(one.state));
    for (const auto* part :
         {&one.data_centre, &one.pool, &one.data_address, &one.control_address}) {
        hash = stable_hash(*part, hash);
    }
    return hash;
}

std::vector<std::uint64_t> digest_of_list(const instance_map& list, std::uint32_t bucket_count) {
    std::vector<std::uint64_t> hashes(bucket_count);
    for (const auto& [id, one] : list) {
        hashes[bucket_of(id, bucket_count)] += hash_of(one);
    }
    return hashes;
}

} // namespace

void instance_table::take_list(std::vector<membership::instance> list, time_point read_at) {
    instance_map next;
    for (auto& one : list) {
        auto id = one.id;
        next.insert_or_assign(std::move(id), std::move(one));
    }
    replace(std::move(next), read_at);
}

wire::instances_request instance_table::make_request(time_point now) const {
    return {digest_of_list(list_, digest_buckets), age(now)};
}

wire::instances_answer instance_table::answer(const wire::instances_request& asked,
                                              time_point now) const {
    wire::instances_answer made;
    made.known = known();
    made.age = age(now);
    const bool whole = asked.bucket_hashes.empty();
    if (!made.known || (!whole && made.age >= asked.age)) {
        return made;
    }
    const auto count = whole ? 1U : static_cast<std::uint32_t>(asked.bucket_hashes.size());
    made.buckets = whole ? std::vector<std::uint32_t>{0}
                         : differing(digest_of_list(list_, count), asked.bucket_hashes);
    const std::set<std::uint32_t> wanted{made.buckets.begin(), made.buckets.end()};
    for (const auto& [id, one] : list_) {
        if (wanted.contains(bucket_of(id, count))) {
            made.instances.push_back(one);
        }
    }
    return made;
}

void instance_table::take_answer(const wire::instances_answer& answer, time_point now) {
    const auto read_at = now - answer.age;
    if (!answer.known || answer.buckets.empty() || (read_at_ && read_at <= *read_at_)) {
        return;
    }
    const std::set<std::uint32_t> replaced{answer.buckets.begin(), answer.buckets.end()};
    instance_map next = list_;
    std::erase_if(next, [&](const auto& one) {
        return replaced.contains(bucket_of(one.first, digest_buckets));
    });
    for (const auto& one : answer.instances) {
        next.insert_or_assign(one.id, one);
    }
    replace(std::move(next), read_at);
}

void instance_table::confirm(time_point read_at) {
    if (read_at_ && read_at > *read_at_) {
        read_at_ = read_at;
    }
}

void instance_table::note_heard(const std::string& id, time_point now) {
    const auto found = believed_.find(id);
    if (found != believed_.end()) {
        found->second.heard_at = now;
    }
}

bool instance_table::refresh(time_point now) {
    if (missing_ == 0) {
        return std::exchange(changed_, false);
    }
    const auto wait = grace();
    const auto removed = std::erase_if(believed_, [&](const auto& one) {
        const auto& [id, entry] = one;
        return entry.missing_since && now - *entry.missing_since > wait &&
               now - entry.heard_at > heard_lately;
    });
    missing_ -= removed;
    return std::exchange(changed_, false) || removed != 0;
}

membership::instance_list instance_table::believed() const {
    membership::instance_list all;
    all.instances.reserve(believed_.size());
    for (const auto& [id, entry] : believed_) {
        all.instances.push_back(entry.what);
    }
    return all;
}

milliseconds instance_table::age(time_point now) const {
    constexpr std::chrono::hours never{24 * 365};
    return read_at_ ? std::chrono::duration_cast<milliseconds>(now - *read_at_) : never;
}

void instance_table::replace(instance_map list, time_point read_at) {
    read_at_ = read_at;
    missing_ = 0;
    for (auto& [id, entry] : believed_) {
        if (list.contains(id)) {
            entry.missing_since.reset();
        } else {
            entry.missing_since = entry.missing_since.value_or(read_at);
            ++missing_;
        }
    }
    for (const auto& [id, one] : list) {
        auto& entry = believed_[id];
        changed_ = changed_ || entry.what != one;
        entry.what = one;
    }
    list_ = std::move(list);
    hash_ = digest_of_list(list_, 1).front();
}

milliseconds instance_table::grace() const {
    const bool many = static_cast<double>(missing_) >
                      std::max(1.0, doubted_share * static_cast<double>(believed_.size()));
    return many ? grace_of_many : grace_of_few;
}

} // namespace boragefront::control
