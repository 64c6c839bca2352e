/// \file
/// The state of the traffic thread as JSON.
#pragma once

#include "stage_scheduler.hpp"
#include "traffic_state.hpp"

#include <string>

namespace boragefront::gateway {

/// Endpoints with what speaks against each, stage queues, limits. Traffic thread only.
std::string dump_traffic(traffic_state& state, const stage_exchange& stages, time_point now);

} // namespace boragefront::gateway
