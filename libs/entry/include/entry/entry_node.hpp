/// \file
/// An entry: accepts callers' HTTP requests and forwards their stages to sidecars.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>

namespace boragefront::entry {

/// Runs the entry role of a process.
class entry_node {
public:
    /// Binds, starts the control plane and the traffic threads.
    /// \param settings with `entry_settings` as the role.
    /// \param metrics outlives the node.
    /// \returns `bad_request` for settings of another role, `unavailable` if an address cannot be
    /// bound.
    static result<std::unique_ptr<entry_node>> start(const settings::daemon_settings& settings,
                                                     metrics_registry& metrics);

    entry_node() = default;
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    virtual ~entry_node() = default;

    /// Begins a graceful shutdown: reports not ready, accepts requests for the readiness grace
    /// period, then waits for requests in flight. Thread-safe and idempotent.
    virtual void request_shutdown() = 0;

    /// Blocks until the graceful shutdown has completed.
    virtual void wait() = 0;

    /// The address of the callers' HTTP server, "ip:port".
    virtual std::string data_address() const = 0;

    /// The address of the control server, "ip:port".
    virtual std::string control_address() const = 0;
};

} // namespace boragefront::entry
