/// \file
/// The control thread of a process: learns the published configuration and the instances, spreads
/// both among peers, and exchanges heartbeats. Traffic reads its snapshots.
#pragma once

#include "base/atomic_snapshot.hpp"
#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"
#include "config/types.hpp"
#include "membership/instance.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragefront::control {

using wire::service_phase;

/// What a sidecar reports on every heartbeat.
struct sidecar_report {
    incarnation life{0};
    service_phase phase{service_phase::starting};
    unsigned concurrency_limit{0}; ///< in force now, ramp included
    unsigned in_flight{0};
    unsigned queued{0};
    milliseconds service_time{0}; ///< usual service time of its endpoint
};

/// A sidecar as this process last heard from it.
struct heard_sidecar {
    membership::instance where;
    sidecar_report report;
    remote_time clock;   ///< the sidecar's monotonic clock ...
    time_point heard_at; ///< ... at or before this local time
    /// How long the report counts as lately heard: longer with more targets, as heartbeats are
    /// rarer.
    milliseconds validity{3'000};
};

/// All sidecars heard from lately, by instance id.
struct heard_sidecars {
    std::map<std::string, heard_sidecar, std::less<>> by_id;
};

/// What a process says of itself on `boragefrontctl status`.
struct process_status {
    service_phase phase{service_phase::starting};
    unsigned in_flight{0};
};

/// What the control plane asks of its role. Called on the control thread.
struct role_hooks {
    std::function<process_status()> status;
    std::function<sidecar_report()> report; ///< empty for an entry
    std::function<std::string()> dump;      ///< the role's own state, as a JSON object
};

/// Who this process is and whom it asks.
struct control_options {
    membership::instance self;
    std::string platform_address;
    std::vector<std::string> seed_peers;
    /// Whether sidecars are sent heartbeats: true for an entry, false for a sidecar.
    bool heartbeats_to_sidecars{false};
    /// Picks the sidecars that are sent heartbeats; if empty, `membership::select_subset`, with the
    /// pools of services that are not idempotent taken whole. Called on the control thread.
    std::function<std::vector<membership::instance>(const membership::instance_list&)>
        heartbeat_targets;
};

/// The control plane of one process.
class control_plane {
public:
    /// Binds the control address and starts the control thread.
    /// \param metrics outlives the control plane.
    static result<std::unique_ptr<control_plane>> start(control_options options, role_hooks hooks,
                                                        metrics_registry& metrics);

    control_plane() = default;
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;
    virtual ~control_plane() = default;

    /// The snapshots that traffic threads read.
    virtual const atomic_snapshot<config::snapshot>& configuration() const = 0;
    virtual const atomic_snapshot<membership::instance_list>& instances() const = 0;
    virtual const atomic_snapshot<heard_sidecars>& sidecars() const = 0;

    /// Whether enough is known to decide: the configuration was confirmed by the platform or a
    /// peer since the start.
    virtual bool ready() const = 0;

    /// The address that is really bound, "ip:port".
    virtual std::string control_address() const = 0;

    /// Tells of a revision that a peer carried on a request or answer; if it is higher than what is
    /// held here, the control thread catches up at once. Any thread.
    virtual void note_revision(revision seen) = 0;

    /// Stops the control thread. Idempotent.
    virtual void stop() = 0;
};

} // namespace boragefront::control
