#include "peering/peer_table.hpp"

#include <algorithm>
#include <set>

namespace boragefront::peering {
namespace {

constexpr std::size_t peers_per_round = 4; // keeps a process's messages constant as the fleet grows
constexpr std::size_t told_at_most = 64;   // entries in a message, some 6 kB
// Three rounds of half a second, and one delayed. Beyond a hundred peers, of which each message
// tells but a part, news of one takes as much longer as there are more of them (`peering_test`).
constexpr milliseconds alive_for_least{1'600};
constexpr std::int64_t peers_with_fast_news = 100;
constexpr milliseconds alive_for_most{6'000};
constexpr unsigned misses_until_dead = 2;   // one may be a pause of either side
constexpr milliseconds usual_interval{300}; // several rounds within the time to apply a change
// Entries that start together find each other once the seeds listen, some 0.3 s apart; until then
// each works alone.
constexpr milliseconds quick_interval{75};
constexpr unsigned quick_rounds = 40;     // 3 s; then the seeds are down
constexpr milliseconds known_for{60'000}; // a peer that is silent for so long is forgotten

} // namespace

peer_table peer_table::make(std::string self_id, std::vector<std::string> seeds) {
    peer_table table;
    table.self_id_ = std::move(self_id);
    table.seeds_ = std::move(seeds);
    return table;
}

void peer_table::record_contact(const wire::entry_info& told, time_point now) {
    if (told.id == self_id_ || told.id.empty()) {
        return;
    }
    auto& kept = peers_[told.control_address];
    kept = {told, now};
}

void peer_table::merge_gossip(const std::vector<wire::entry_info>& peers, time_point now) {
    for (const auto& told : peers) {
        if (told.id == self_id_ || told.id.empty() || told.heard > known_for) {
            continue;
        }
        const auto heard_at = now - told.heard;
        auto& kept = peers_[told.control_address];
        if (heard_at > kept.heard_at) {
            kept.info = told;
            kept.heard_at = heard_at;
        }
    }
    std::erase_if(peers_, [&](const auto& one) { return now - one.second.heard_at > known_for; });
}

void peer_table::record_missed_call(const std::string& control_address, time_point now) {
    const auto found = peers_.find(control_address);
    if (found != peers_.end()) {
        ++found->second.misses;
        found->second.missed_at = now;
    }
}

milliseconds peer_table::alive_for() const {
    const auto more = std::max(static_cast<std::int64_t>(peers_.size()), peers_with_fast_news);
    return std::min(alive_for_least * more / peers_with_fast_news, alive_for_most);
}

// One that was heard of after it last missed a call is back: in a large fleet, and after a cut that
// hid many, it takes seconds until this entry happens to call it.
bool peer_table::is_alive(const peer& one, time_point now) const {
    return now - one.heard_at < alive_for() &&
           (one.misses < misses_until_dead || one.heard_at > one.missed_at);
}

std::vector<std::string> peer_table::gossip_targets(time_point now, random_source& random) const {
    std::vector<std::string> all;
    for (const auto& [address, one] : peers_) {
        if (now - one.heard_at < known_for) {
            all.push_back(address);
        }
    }
    std::shuffle(all.begin(), all.end(), random);
    all.resize(std::min(all.size(), peers_per_round));
    for (const auto& seed : seeds_) {
        if (!peers_.contains(seed)) {
            all.push_back(seed);
        }
    }
    return all;
}

std::vector<wire::entry_info> peer_table::known_peers(time_point now) const {
    std::vector<wire::entry_info> all;
    for (const auto& [address, one] : peers_) {
        if (now - one.heard_at < known_for) {
            all.push_back(one.info);
            all.back().heard = std::chrono::floor<milliseconds>(now - one.heard_at);
        }
    }
    return all;
}

std::vector<wire::entry_info> peer_table::gossip_sample(time_point now, random_source& random) const {
    auto all = known_peers(now);
    if (all.size() > told_at_most) {
        // Old news of a peer would only take the place of new.
        std::erase_if(all, [&](const auto& one) { return one.heard >= alive_for(); });
        std::shuffle(all.begin(), all.end(), random);
        all.resize(std::min(all.size(), told_at_most));
    }
    return all;
}

std::vector<wire::entry_info> peer_table::alive_peers(time_point now) const {
    std::vector<wire::entry_info> all;
    for (const auto& [address, one] : peers_) {
        if (is_alive(one, now)) {
            all.push_back(one.info);
        }
    }
    return all;
}

std::vector<wire::entry_info> peer_table::unresponsive_peers(time_point now, milliseconds window) const {
    std::vector<wire::entry_info> all;
    for (const auto& [address, one] : peers_) {
        if (one.info.serving && now - one.heard_at < window && !is_alive(one, now)) {
            all.push_back(one.info);
        }
    }
    return all;
}

std::vector<wire::entry_info> peer_table::serving_peers(time_point now) const {
    auto all = alive_peers(now);
    std::erase_if(all, [](const auto& one) { return !one.serving; });
    return all;
}

std::size_t peer_table::max_entry_count(time_point now, milliseconds window) const {
    const auto recent =
        static_cast<std::size_t>(std::count_if(peers_.begin(), peers_.end(), [&](const auto& one) {
            return now - one.second.heard_at < window;
        }));
    return std::max(recent, seeds_.size()) + 1;
}

milliseconds peer_table::gossip_interval(unsigned rounds_alone) {
    return rounds_alone == 0 || rounds_alone > quick_rounds ? usual_interval : quick_interval;
}

std::optional<wire::entry_info> peer_table::find(const std::string& id) const {
    for (const auto& [address, one] : peers_) {
        if (one.info.id == id) {
            return one.info;
        }
    }
    return std::nullopt;
}

} // namespace boragefront::peering
