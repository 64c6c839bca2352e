/// \file
/// Endpoint time that a replay cost, by stage, from the entries' metrics.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "exposition.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragefront::replay {

/// Endpoint time spent for one stage of one service.
struct stage_cost {
    std::string service;
    std::string stage;
    microseconds useful{0}; ///< for results that were used
    microseconds wasted{0}; ///< hedged, failed, late or abandoned
};

/// Reads the metrics of each entry.
/// \param addresses control addresses, "ip:port".
/// \returns the samples of all, or the first failure with its address.
result<std::vector<sample>> read_metrics(const std::vector<std::string>& addresses);

/// The endpoint time spent between two readings of the same entries' metrics, ordered by service
/// and stage; stages without any are left out.
std::vector<stage_cost> cost_between(const std::vector<sample>& before,
                                     const std::vector<sample>& after);

} // namespace boragefront::replay
