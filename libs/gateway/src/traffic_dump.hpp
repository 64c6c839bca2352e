/// \file
/// Dump of the traffic thread's state as JSON.
#pragma once

#include "stage_scheduler.hpp"
#include "traffic_state.hpp"

#include <string>

namespace boragefront::gateway {

/// Lists endpoints, each with the reason why it would not be chosen, stage queues and limits.
/// Traffic thread only.
std::string dump_traffic(traffic_state& state, const stage_scheduler& stages, time_point now);

} // namespace boragefront::gateway
