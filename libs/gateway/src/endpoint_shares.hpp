/// \file
/// Which endpoints of a stage service an entry leaves to other entries that also dispatch for it.
#pragma once

#include "catalog/types.hpp"
#include "stages/contended_endpoints.hpp"
#include "traffic_state.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::gateway {

/// The entries that may use the endpoints of a service.
struct endpoint_sharing {
    const fleet_view& fleet;
    stages::weighted_entry self;
    const wire::entry_info* handing_over_with{nullptr}; ///< the other dispatcher; null: none
    bool starting{false};                               ///< see `is_starting`
};

/// Whether an entry still has to assume that entries which it does not know use the endpoints.
/// After a restart of many, each of them would otherwise send to all endpoints.
///
/// \param serving_since when the entry began to accept work
bool is_starting(const fleet_view& fleet, time_point serving_since, time_point now);

/// Whether endpoints may still hold results that the previous incarnation of this entry ordered.
///
/// \param serving_since when the entry began to accept work
bool may_hold_former_results(const fleet_view& fleet, time_point serving_since, time_point now);

/// Endpoints that other entries are likely to use: silent ones, the other dispatcher in a
/// hand-over, and while the entry starts, unknown ones. At least one endpoint of the service is
/// left out.
std::set<std::string, std::less<>>
endpoints_of_others(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    const endpoint_sharing& sharing);

/// Changes with the result of `endpoints_of_others`; 0 if that is empty because this entry shares
/// with no other.
std::uint64_t sharing_hash(const std::vector<catalog::endpoint>& endpoints,
                           std::string_view service, const endpoint_sharing& sharing);

} // namespace boragefront::gateway
