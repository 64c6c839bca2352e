/// \file
/// Starts, reloads and stops the role that the daemon's settings select.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "entry/entry_node.hpp"
#include "gateway/gateway_node.hpp"
#include "settings/settings.hpp"
#include "sidecar/sidecar_node.hpp"

#include <memory>
#include <string>
#include <variant>

namespace boragefront::daemon {

using running_role =
    std::variant<std::unique_ptr<entry::entry_node>, std::unique_ptr<sidecar::sidecar_node>,
                 std::unique_ptr<gateway::gateway_node>>;

/// Starts the role that the settings select.
/// \param metrics outlives the role.
/// \returns the node's error, for example if it cannot bind its addresses.
result<running_role> start_role(const settings::daemon_settings& settings,
                                metrics_registry& metrics);

/// Applies the settings that can change while the role runs.
void reload(running_role& role, const settings::daemon_settings& settings);

/// The most time that a shutdown may take, so that the process ends by itself also if a thread of
/// the role hangs.
/// \param settings of the start, for roles whose settings can't change while they run.
milliseconds shutdown_time(const running_role& role, const settings::daemon_settings& settings);

/// Shuts the role down gracefully and blocks until it has stopped.
void shut_down(running_role& role);

/// The bound addresses, with the ports that were assigned, as one line of JSON.
std::string addresses_line(const running_role& role);

} // namespace boragefront::daemon
