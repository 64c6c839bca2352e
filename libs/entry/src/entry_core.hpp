/// \file
/// The state shared by the parts of an entry: its control plane, decisions, metrics and traffic
/// threads.
#pragma once

#include "base/metrics.hpp"
#include "base/random.hpp"
#include "control/control_plane.hpp"
#include "decision_state.hpp"
#include "http/client.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragefront::entry {

/// Shared by all traffic threads of an entry; outlives them.
struct entry_core {
    entry_core(control::control_plane& plane, metrics_registry& registry,
               std::string own_data_centre)
        : control{plane}, metrics{registry}, data_centre{std::move(own_data_centre)} {}

    control::control_plane& control;
    metrics_registry& metrics;
    std::string data_centre;
    decision_state decisions;
    std::atomic<unsigned> in_flight{0}; ///< requests of callers
    std::atomic<bool> draining{false};
};

/// The state of one traffic thread.
struct traffic_context {
    entry_core& core;
    boost::asio::any_io_executor executor;
    std::unique_ptr<http::client> client;
    random_source random{make_random_source()};
};

/// The endpoints of a pool from the current snapshots.
std::vector<routing::endpoint_view> endpoints_of(const entry_core& core, std::string_view pool,
                                                 time_point now);

/// The endpoint of one sidecar from the current snapshots.
/// \returns nothing if no heartbeat of it was received.
std::optional<routing::endpoint_view> endpoint_named(const entry_core& core, std::string_view id,
                                                     time_point now);

/// All endpoints with at least one heartbeat.
std::vector<routing::endpoint_view> all_endpoints(const entry_core& core, time_point now);

} // namespace boragefront::entry
