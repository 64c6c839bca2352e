/// \file
/// Selects the estimates for a message of bounded size.
#pragma once

#include "capacity/endpoint_estimates.hpp"

#include <cstddef>
#include <vector>

namespace boragefront::capacity {

/// The estimates for one message: first those that differ most from speed 1, then a sample of the
/// others that moves on with each round, so that all are sent in turn.
/// \param limit maximum number of estimates.
/// \param round number of the message.
std::vector<estimate_report> select_reports(std::vector<estimate_report> reports, std::size_t limit,
                                            std::size_t round);

} // namespace boragefront::capacity
