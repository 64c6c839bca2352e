/// \file
/// Membership of the entries, learned by gossip from seeds and peers.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"
#include "wire/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::peering {

/// Tracks which entries exist and which of them are alive. Holds no connections and reads no clock.
class peer_table {
public:
    /// \param self_id id of this entry, which is never listed.
    /// \param seeds control addresses of other entries.
    static peer_table make(std::string self_id, std::vector<std::string> seeds);

    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Records an entry's report about itself, received directly from it.
    void record_contact(const wire::entry_info& self_report, time_point now);

    /// Merges another entry's reports about its peers; the most recent report of a peer wins.
    void merge_gossip(const std::vector<wire::entry_info>& peers, time_point now);

    /// Records that a call to an address was not answered.
    void record_missed_call(const std::string& control_address, time_point now);

    /// Addresses for one gossip round: a few random peers, and all seeds that are not a known peer.
    std::vector<std::string> gossip_targets(time_point now, random_source& random) const;

    /// The peers to include in a gossip message, with the time since each was last seen. A random
    /// sample if there are many, so that messages stay bounded as the fleet grows.
    std::vector<wire::entry_info> gossip_sample(time_point now, random_source& random) const;

    /// Peers that are not forgotten, with the time since each was last seen.
    std::vector<wire::entry_info> known_peers(time_point now) const;

    /// Peers that are seen regularly and answer calls. How long they have accepted work is as of
    /// `now`.
    std::vector<wire::entry_info> alive_peers(time_point now) const;

    /// Peers that are not alive but were seen within `window` while serving. They have stopped, or
    /// are partitioned from this entry and still serve.
    std::vector<wire::entry_info> unresponsive_peers(time_point now, milliseconds window) const;

    /// The alive peers that accept work.
    std::vector<wire::entry_info> serving_peers(time_point now) const;

    /// Upper bound on the number of serving entries, including this one: all that were seen within
    /// the last `window`, but at least the number of seeds. Limits are divided by it, so it must
    /// not be too low.
    std::size_t max_entry_count(time_point now, milliseconds window) const;

    std::optional<wire::entry_info> find(const std::string& id) const;

    /// Time until the next gossip round; shorter while no peer has been found.
    /// \param rounds_without_peers number of consecutive rounds without an alive peer.
    static milliseconds gossip_interval(unsigned rounds_without_peers);

private:
    struct peer {
        wire::entry_info info;
        time_point last_seen{};
        unsigned missed_calls{0};    ///< unanswered calls since the peer last made contact
        time_point last_missed_at{}; ///< time of the last one
    };
    bool is_alive(const peer& one, time_point now) const;
    milliseconds liveness_timeout() const;

    std::string self_id_;
    std::vector<std::string> seeds_;
    std::map<std::string, peer> peers_; // by control address
};

} // namespace boragefront::peering
