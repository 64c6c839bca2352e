/// \file
/// When the control thread reads the platform, talks to peers and sends heartbeats. Pure: the time
/// and the random source are arguments.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"
#include "membership/instance.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace boragefront::control {

/// Readers of the configuration service in each data centre.
inline constexpr std::size_t readers_per_data_centre = 2;

/// Whether this process is one of its data centre's readers: rendezvous hash over the live
/// instances, so that processes with equal lists agree without talking.
bool is_reader(const membership::instance_list& believed, const membership::instance& self);

/// What to do about the configuration service now.
enum class read_action : std::uint8_t { none, watch, read };

/// What the decision to read depends on.
struct read_situation {
    bool reader{false};
    milliseconds knowledge_age{0};
    std::size_t fleet_size{0};
};

/// When to read the configuration service. Readers watch; others read once their knowledge has not
/// been confirmed for a while, so rarely that the fleet together stays within the service's rate.
class read_schedule {
public:
    explicit read_schedule(random_source& random);

    read_action decide(const read_situation& situation, time_point now) const;

    /// Notes the end of a read or watch.
    void on_end(bool succeeded, const read_situation& situation, time_point now,
                random_source& random);

    /// Allows a read at once, as when a higher revision was heard of.
    void hasten(time_point now);

private:
    milliseconds patience_;
    time_point not_before_{};
    unsigned failures_{0};
    bool hastened_{false};
};

/// When to read the instance list: as often as its size allows.
class list_schedule {
public:
    explicit list_schedule(random_source& random);

    bool due(bool reader, milliseconds list_age, time_point now) const;

    /// \param bytes of the answer; 0 if it failed.
    void on_end(std::size_t bytes, const read_situation& situation, time_point now,
                random_source& random);

private:
    milliseconds patience_;
    milliseconds period_;
    time_point not_before_{};
};

/// When to begin a conversation with a random peer: seldom, but at once after a change.
class gossip_schedule {
public:
    bool due(time_point now) const { return now >= next_; }

    /// Notes the begin of a conversation.
    void on_begin(bool ready, time_point now, random_source& random);

    /// Something new was learned: pass it on to a few peers quickly.
    void on_change(time_point now);

    /// Whether something learned lately is still being passed on.
    bool hot() const { return hot_rounds_ > 0; }

private:
    time_point next_{};
    unsigned hot_rounds_{0};
};

/// Picks a peer at random; one that was asked lately and has not answered only if there is no
/// other.
class peer_picker {
public:
    /// \returns an index into `addresses`. \pre not empty.
    std::size_t pick(const std::vector<std::string>& addresses, time_point now,
                     random_source& random) const;

    /// Notes that a peer is asked.
    void on_begin(const std::string& address, time_point now);

    /// Notes that a peer answered.
    void on_success(const std::string& address) { unanswered_since_.erase(address); }

private:
    std::map<std::string, time_point> unanswered_since_;
};

/// Time between heartbeats to one sidecar, so long that all together stay within their share of a
/// process's bytes.
milliseconds heartbeat_period(std::size_t targets);

/// How long the answer to a heartbeat counts as lately heard, so that two may be lost.
milliseconds heartbeat_validity(std::size_t targets);

/// Which sidecars are due for a heartbeat. Phases are spread over the period.
class heartbeat_schedule {
public:
    /// Sets the targets; those that stay keep their phase.
    void set_targets(std::vector<membership::instance> targets, time_point now,
                     random_source& random);

    /// The targets that are due; each is next due a period later.
    std::vector<membership::instance> take_due(time_point now);

    std::size_t size() const { return targets_.size(); }

private:
    struct target {
        membership::instance where;
        time_point next;
    };
    std::map<std::string, target> targets_;
};

} // namespace boragefront::control
