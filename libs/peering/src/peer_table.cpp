#include "peering/peer_table.hpp"

#include <algorithm>
#include <set>

namespace boragefront::peering {
namespace {

constexpr std::size_t peers_per_round = 4;  // bounds the message rate of an entry in a large fleet
constexpr std::size_t max_sample_size = 64; // entries, about 6 kB
// Three gossip rounds of 500 ms and one delayed message. A message carries only a sample of more
// than a hundred peers, so updates then take longer in proportion to their number
// (`peering_test`).
constexpr milliseconds min_liveness_timeout{1'600};
constexpr std::int64_t peers_at_min_timeout = 100;
constexpr milliseconds max_liveness_timeout{6'000};
constexpr unsigned dead_after_missed_calls = 2; // a single one may be a pause of either process
// Allows several rounds within the time in which a change must be applied.
constexpr milliseconds default_interval{300};
// Entries that start together, about 0.3 s apart, discover each other once the seeds listen. Until
// then each of them serves as if it were the only one.
constexpr milliseconds discovery_interval{75};
constexpr unsigned discovery_rounds = 40;    // 3 s; after that the seeds are assumed to be down
constexpr milliseconds forget_after{60'000}; // since a peer was last seen

// How long an entry has accepted work, from an older and a newer report. Reports are delayed by
// different times, but an entry that has settled once must stay so until it stops.
milliseconds serving_time(const wire::entry_info& older, time_point older_seen,
                          const wire::entry_info& newer, time_point newer_seen) {
    if (older.life != newer.life || !newer.serving || older.serving_for == milliseconds{0}) {
        return newer.serving_for;
    }
    return std::max(newer.serving_for,
                    older.serving_for + std::chrono::floor<milliseconds>(newer_seen - older_seen));
}

} // namespace

peer_table peer_table::make(std::string self_id, std::vector<std::string> seeds) {
    peer_table table;
    table.self_id_ = std::move(self_id);
    table.seeds_ = std::move(seeds);
    return table;
}

void peer_table::record_contact(const wire::entry_info& report, time_point now) {
    if (report.id == self_id_ || report.id.empty()) {
        return;
    }
    auto& kept = peers_[report.control_address];
    const auto serving_for = serving_time(kept.info, kept.last_seen, report, now);
    kept = {report, now};
    kept.info.serving_for = serving_for;
}

void peer_table::merge_gossip(const std::vector<wire::entry_info>& peers, time_point now) {
    for (const auto& report : peers) {
        if (report.id == self_id_ || report.id.empty() || report.heard > forget_after) {
            continue;
        }
        const auto last_seen = now - report.heard;
        auto& kept = peers_[report.control_address];
        if (last_seen > kept.last_seen) {
            const auto serving_for = serving_time(kept.info, kept.last_seen, report, last_seen);
            kept.info = report;
            kept.info.serving_for = serving_for;
            kept.last_seen = last_seen;
        }
    }
    std::erase_if(peers_,
                  [&](const auto& one) { return now - one.second.last_seen > forget_after; });
}

void peer_table::record_missed_call(const std::string& control_address, time_point now) {
    const auto found = peers_.find(control_address);
    if (found != peers_.end()) {
        ++found->second.missed_calls;
        found->second.last_missed_at = now;
    }
}

milliseconds peer_table::liveness_timeout() const {
    const auto peers = std::max(static_cast<std::int64_t>(peers_.size()), peers_at_min_timeout);
    return std::min(min_liveness_timeout * peers / peers_at_min_timeout, max_liveness_timeout);
}

// A peer that was seen after its last missed call is alive again. Waiting for this entry to call it
// would take seconds in a large fleet or after a partition that hid many peers.
bool peer_table::is_alive(const peer& one, time_point now) const {
    return now - one.last_seen < liveness_timeout() &&
           (one.missed_calls < dead_after_missed_calls || one.last_seen > one.last_missed_at);
}

std::vector<std::string> peer_table::gossip_targets(time_point now, random_source& random) const {
    std::vector<std::string> all;
    for (const auto& [address, one] : peers_) {
        if (now - one.last_seen < forget_after) {
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
        if (now - one.last_seen < forget_after) {
            all.push_back(one.info);
            all.back().heard = std::chrono::floor<milliseconds>(now - one.last_seen);
        }
    }
    return all;
}

std::vector<wire::entry_info> peer_table::gossip_sample(time_point now,
                                                        random_source& random) const {
    auto all = known_peers(now);
    if (all.size() > max_sample_size) {
        // Outdated reports would only displace recent ones.
        std::erase_if(all, [&](const auto& one) { return one.heard >= liveness_timeout(); });
        std::shuffle(all.begin(), all.end(), random);
        all.resize(std::min(all.size(), max_sample_size));
    }
    return all;
}

std::vector<wire::entry_info> peer_table::alive_peers(time_point now) const {
    std::vector<wire::entry_info> all;
    for (const auto& [address, one] : peers_) {
        if (is_alive(one, now)) {
            all.push_back(one.info);
            auto& listed = all.back();
            if (listed.serving && listed.serving_for > milliseconds{0}) {
                listed.serving_for += std::chrono::floor<milliseconds>(now - one.last_seen);
            }
        }
    }
    return all;
}

std::vector<wire::entry_info> peer_table::unresponsive_peers(time_point now,
                                                             milliseconds window) const {
    std::vector<wire::entry_info> all;
    for (const auto& [address, one] : peers_) {
        if (one.info.serving && now - one.last_seen < window && !is_alive(one, now)) {
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
            return now - one.second.last_seen < window;
        }));
    return std::max(recent, seeds_.size()) + 1;
}

milliseconds peer_table::gossip_interval(unsigned rounds_without_peers) {
    return rounds_without_peers == 0 || rounds_without_peers > discovery_rounds
               ? default_interval
               : discovery_interval;
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
