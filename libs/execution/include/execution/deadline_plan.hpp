/// \file
/// Divides a request deadline among the remaining stages.
#pragma once

#include "base/time.hpp"

#include <span>

namespace boragefront::execution {

/// Latency of one stage, from measured quantiles; zero where unknown.
struct stage_estimate {
    duration low{0};    ///< low quantile: hardly any answer takes less
    duration median{0}; ///< half of the answers take less
    duration high{0};   ///< high quantile: nearly all answers take less
};

/// Time limits for the first of the remaining stages.
struct stage_times {
    /// Latest completion time: the request deadline less the low quantiles of the later stages.
    time_point deadline;
    /// The stage's share of the remaining time, in proportion to the high quantiles.
    duration share{0};
};

/// Divides the time up to `deadline` among `stages`.
/// \pre `stages` is not empty.
stage_times plan_stage(std::span<const stage_estimate> stages, time_point now, time_point deadline);

/// Time without an answer after which an attempt counts as stalled: well above the high quantile,
/// but at most half of the available time, so that another attempt has as long.
/// \param available time available for the stage.
duration stall_timeout(const stage_estimate& stage, duration available);

/// Whether the remaining stages would miss the deadline even at their low quantiles.
bool is_infeasible(std::span<const stage_estimate> stages, time_point now, time_point deadline);

} // namespace boragefront::execution
