/// \file
/// The state of the control thread and its answers to peers; no I/O, no clock.
#pragma once

#include "base/time.hpp"
#include "config/store.hpp"
#include "instance_table.hpp"
#include "knowledge_clock.hpp"
#include "wire/messages.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragefront::control {

/// An answer of the platform's configuration service.
struct platform_config {
    revision highest{0};
    std::vector<config::published_entry> entries;
};

/// What a process knows: the configuration, how fresh it is, and the instances.
class control_core {
public:
    /// Merges an answer of the platform.
    void take_platform(platform_config answer, revision asked_with_highest, time_point asked_at,
                       time_point now);

    /// Merges entries that a peer sent.
    void take_entries(std::vector<config::published_entry> entries);

    /// Notes what a peer says of its knowledge: equal hashes confirm each other.
    /// \param asked_at when the peer was asked, or its message arrived.
    void take_knowledge(const wire::knowledge& peer, time_point asked_at);

    /// Notes that everything that a peer held when it described itself is held here now.
    void take_whole(const wire::knowledge& peer, time_point asked_at);

    /// Whether a peer may hold something that is not held here, or the other way round.
    bool differs(const wire::knowledge& peer) const { return peer.config_hash != hash_; }

    /// Whether a peer has a newer list of other content.
    bool wants_list_of(const wire::knowledge& peer, time_point now) const;

    wire::digest_answer answer(const wire::digest_request& asked, time_point now);
    wire::delta_answer answer(const wire::delta_request& asked);
    wire::instances_answer answer(const wire::instances_request& asked, time_point now) const;

    wire::knowledge describe(time_point now) const;

    const config::config_store& store() const { return store_; }
    const knowledge_clock& knowledge() const { return knowledge_; }
    instance_table& instances() { return instances_; }
    const instance_table& instances() const { return instances_; }

    /// The keys that took a newer entry since the last call.
    std::vector<std::string> take_changed_keys();

    /// Raised whenever the store took something.
    std::uint64_t version() const { return version_; }

private:
    bool merge(config::published_entry entry);

    config::config_store store_;
    knowledge_clock knowledge_;
    instance_table instances_;
    std::uint64_t hash_{0};
    std::uint64_t version_{0};
    std::vector<std::string> changed_keys_;
};

} // namespace boragefront::control
