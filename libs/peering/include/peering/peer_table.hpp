/// \file
/// The other entries, as learned from seeds and from each other.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"
#include "wire/messages.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::peering {

/// Which entries exist and which of them are alive. Holds no connections and reads no clock.
class peer_table {
public:
    /// \param self_id this entry, which is never listed.
    /// \param seeds control addresses of other entries.
    static peer_table make(std::string self_id, std::vector<std::string> seeds);

    void set_seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Takes in what an entry says of itself.
    void record_contact(const wire::entry_info& told, time_point now);

    /// Takes in what another entry says of third ones.
    void merge_gossip(const std::vector<wire::entry_info>& peers, time_point now);

    /// Notes that a call to an address went unanswered.
    void record_missed_call(const std::string& control_address, time_point now);

    /// Addresses to exchange news with now: a few random peers, and seeds that no known peer has.
    std::vector<std::string> gossip_targets(time_point now, random_source& random) const;

    /// What to tell another entry: peers heard of lately, with the time since; of many a random
    /// sample, so that messages stay bounded as the fleet grows.
    std::vector<wire::entry_info> gossip_sample(time_point now, random_source& random) const;

    /// Peers heard of lately, with the time since.
    std::vector<wire::entry_info> known_peers(time_point now) const;

    /// Peers that answer.
    std::vector<wire::entry_info> alive_peers(time_point now) const;

    /// Peers that do not answer, but were heard of within `window`: gone, or cut off from this
    /// entry and still at work.
    std::vector<wire::entry_info> unresponsive_peers(time_point now, milliseconds window) const;

    /// Those of the peers that answer that take work.
    std::vector<wire::entry_info> serving_peers(time_point now) const;

    /// How many entries may be at work, this one included: all that were alive within the last
    /// `window`, but at least the seeds. Limits are divided by it, so it errs on
    /// the high side.
    std::size_t max_entry_count(time_point now, milliseconds window) const;

    std::optional<wire::entry_info> find(const std::string& id) const;

    /// When to exchange news again: sooner while no peer has been found.
    /// \param rounds_alone rounds in a row after which no peer was alive
    static milliseconds gossip_interval(unsigned rounds_alone);

private:
    struct peer {
        wire::entry_info info;
        time_point heard_at{};
        unsigned misses{0};     ///< calls that went unanswered since this entry last heard from it
        time_point missed_at{}; ///< the last of them
    };
    bool is_alive(const peer& one, time_point now) const;
    milliseconds alive_for() const;

    std::string self_id_;
    std::vector<std::string> seeds_;
    std::map<std::string, peer> peers_; // by control address
};

} // namespace boragefront::peering
