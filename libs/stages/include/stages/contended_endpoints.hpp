/// \file
/// Which endpoints of a stage service another dispatcher is likely to use, that this one cannot
/// see.
///
/// Answers the pattern of a fleet that is cut into parts which all reach the endpoints: each part
/// dispatches for itself, and many queues that send to all endpoints make small calls, find the
/// endpoints full and make results that come too late. Entries agree on the shares without seeing
/// each other, as each share follows from a hash.
#pragma once

#include "catalog/types.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::stages {

/// An entry, by whose processor share endpoints are divided.
struct weighted_entry {
    std::string id;
    double processors{0}; ///< above 0
};

/// The endpoints of a service that fall to entries which do not answer but may be at work.
/// \param self id of the entry that asks; if no endpoint falls to a seen entry, one is its own.
/// \param seen entries that share one queue with it, itself included
/// \param silent entries that were at work lately and do not answer now
std::set<std::string, std::less<>>
contended_endpoints(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    std::string_view self, const std::vector<weighted_entry>& seen,
                    const std::vector<weighted_entry>& silent);

} // namespace boragefront::stages
