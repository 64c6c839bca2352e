/// \file
/// Selection of the entry that queues the pieces of a stage service for the whole fleet. Pure.
#pragma once

#include "base/time.hpp"
#include "placement/dispatcher_order.hpp"
#include "traffic_state.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Entries that are asked for a group before the entry dispatches locally. In a fleet that is not
/// uniform those that refuse a connection do not count.
inline constexpr std::size_t max_dispatchers = 2;

/// The entry that makes the selection.
struct dispatching_entry {
    placement::candidate info;
    const std::optional<drain_plan>& draining;
};

/// Whether an entry dispatches for no other entry: it is draining, and another entry is serving or
/// this one may already exit. Work for others would delay its successor.
bool defers_dispatch(const dispatching_entry& self, const fleet_view& fleet, time_point now);

/// The entries among which the dispatchers of services are selected. While no entry is serving, as
/// in a restart of all entries, these are the draining ones: with separate queues they would send
/// to the same endpoints without knowing of each other.
/// How long they have been serving is 0 or `placement::settling_time`, so that candidates differ
/// only if a selection may: with hundreds of entries a new one is costly.
/// \param is_late whether other entries observe that an entry responds late
std::vector<placement::candidate>
dispatch_candidates(const dispatching_entry& self, const fleet_view& fleet,
                    const std::function<bool(const wire::entry_info&)>& is_late, time_point now);

/// The other entries to ask for dispatch, in order of preference. If none of them responds, the
/// entry dispatches locally.
/// \param order ids of all candidates, the preferred dispatcher first
/// \param is_excluded whether an entry must not be asked at present
std::vector<wire::entry_info>
entries_to_ask(const std::vector<std::string>& order, const dispatching_entry& self,
               const fleet_view& fleet,
               const std::function<bool(const wire::entry_info&)>& is_excluded);

} // namespace boragefront::gateway
