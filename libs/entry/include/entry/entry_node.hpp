/// \file
/// An entry: serves callers over HTTP and has their requests run at sidecars.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>

namespace boragefront::entry {

/// The role object of a process that runs as an entry.
class entry_node {
public:
    /// Binds, starts the control plane and the traffic threads.
    /// \param settings hold `entry_settings` as their role.
    /// \param metrics outlives the node.
    /// \returns `bad_request` for settings of another role, `unavailable` if an address cannot be
    /// bound.
    static result<std::unique_ptr<entry_node>> start(const settings::daemon_settings& settings,
                                                     metrics_registry& metrics);

    entry_node() = default;
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;
    virtual ~entry_node() = default;

    /// Begins a graceful shutdown: readiness turns false, callers are served for the readiness
    /// grace, then requests in flight finish. Any thread; idempotent.
    virtual void request_shutdown() = 0;

    /// Blocks until the graceful shutdown has ended.
    virtual void wait() = 0;

    /// The address that callers reach, "ip:port".
    virtual std::string data_address() const = 0;

    /// The address of the control server, "ip:port".
    virtual std::string control_address() const = 0;
};

} // namespace boragefront::entry
