/// \file
/// Selection of the entry that queues the pieces of a stage service for the whole fleet. Pure.
#pragma once

#include "base/time.hpp"
#include "traffic_state.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::gateway {

/// The entry that makes the selection.
struct dispatching_entry {
    std::string_view id;
    double processors{0}; ///< weight by which services are assigned to entries
    const std::optional<drain_plan>& draining;
};

/// Whether an entry dispatches for no other entry: it is draining, and another entry is serving or
/// this one may already exit. Work for others would delay its successor.
bool defers_dispatch(const dispatching_entry& self, const fleet_view& fleet, time_point now);

/// The other entries to ask for dispatch, in order of preference. If none of them responds, the
/// entry dispatches locally. While no entry is serving, as in a restart of all entries, the
/// draining ones still share one queue: separate queues would send to the same endpoints without
/// knowing of each other. \param is_excluded whether an entry must not be asked at present
std::vector<wire::entry_info>
dispatch_order(std::string_view service, const dispatching_entry& self, const fleet_view& fleet,
               const std::function<bool(const std::string&)>& is_excluded, time_point now);

} // namespace boragefront::gateway
