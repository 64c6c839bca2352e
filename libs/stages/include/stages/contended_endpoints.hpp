/// \file
/// Endpoints of a stage service that a dispatcher in another network partition is likely to use.
///
/// When a partition separates the entries but every part still reaches the endpoints, each part
/// runs its own dispatcher. If all of them send to all endpoints, calls are small, endpoints refuse
/// them as full, and results arrive too late. Weighted rendezvous hashing assigns each endpoint to
/// one entry, so that the parts agree on the assignment without communicating.
#pragma once

#include "catalog/types.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::stages {

/// An entry and its weight in the assignment of endpoints.
struct weighted_entry {
    std::string id;
    double processors{0}; ///< weight; greater than 0
};

/// Returns the endpoints of a service that are assigned to unresponsive entries, which may still be
/// running.
/// \param self id of the calling entry. If no endpoint is assigned to a reachable entry, one is
/// left out of the result for it. \param reachable entries that share one queue with it, including
/// itself \param unresponsive entries that were running recently and do not respond now
std::set<std::string, std::less<>>
contended_endpoints(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    std::string_view self, const std::vector<weighted_entry>& reachable,
                    const std::vector<weighted_entry>& unresponsive);

} // namespace boragefront::stages
