/// \file
/// An entry that sends requests directly to endpoints, without sidecars.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>

namespace boragefront::gateway {

/// A running gateway, with one thread for control state and one for traffic.
class gateway_node {
public:
    /// Binds the listening addresses and starts both threads.
    /// \param metrics must outlive the node
    /// \returns the node; `bad_request` for the settings of another role, `unavailable` if an
    /// address cannot be bound
    static result<std::unique_ptr<gateway_node>> start(const settings::daemon_settings& settings,
                                                       metrics_registry& metrics);

    gateway_node() = default;
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;
    virtual ~gateway_node() = default;

    /// Applies the settings that can change at run time. Thread-safe.
    virtual void reload(const settings::daemon_settings& settings) = 0;

    /// Time from the beginning of a shutdown until the platform kills the process, by the newest
    /// settings. Thread-safe.
    virtual milliseconds grace() const = 0;

    /// Begins a graceful shutdown. Thread-safe and idempotent.
    virtual void request_shutdown() = 0;

    /// Blocks until the shutdown has ended.
    virtual void wait() = 0;

    virtual std::string data_address() const = 0;
    virtual std::string control_address() const = 0;
    virtual std::string ready_address() const = 0;
};

} // namespace boragefront::gateway
