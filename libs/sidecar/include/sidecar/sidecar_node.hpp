/// \file
/// The process beside one endpoint, and the only way to it.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "control/control_plane.hpp"
#include "settings/settings.hpp"

#include <functional>
#include <memory>
#include <string>

namespace boragefront::sidecar {

/// Starts a control plane; tests give their own.
using control_starter = std::function<result<std::unique_ptr<control::control_plane>>(
    control::control_options, control::role_hooks, metrics_registry&)>;

/// A running sidecar.
class sidecar_node {
public:
    /// Binds both addresses and starts the control and the traffic thread.
    /// \param metrics outlives the node.
    /// \returns `bad_request` for settings of another role, `unavailable` if an address cannot be
    /// bound.
    static result<std::unique_ptr<sidecar_node>> start(const settings::daemon_settings& settings,
                                                       metrics_registry& metrics);

    /// As above, with another control plane.
    static result<std::unique_ptr<sidecar_node>> start(const settings::daemon_settings& settings,
                                                       metrics_registry& metrics,
                                                       const control_starter& start_control);

    sidecar_node() = default;
    sidecar_node(const sidecar_node&) = delete;
    sidecar_node& operator=(const sidecar_node&) = delete;
    virtual ~sidecar_node() = default;

    /// Begins a graceful shutdown: new work is refused as not run, running work finishes. Any
    /// thread; idempotent.
    virtual void request_shutdown() = 0;

    /// Blocks until the graceful shutdown has ended.
    virtual void wait() = 0;

    /// The addresses that are really bound, "ip:port".
    virtual std::string data_address() const = 0;
    virtual std::string control_address() const = 0;
};

} // namespace boragefront::sidecar
