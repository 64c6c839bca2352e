/// \file
#include "execution/deadline_plan.hpp"

#include <algorithm>
#include <chrono>

namespace boragefront::execution {
namespace {

constexpr int timeout_multiple = 3; // of the high quantile
constexpr milliseconds min_timeout{250};
constexpr milliseconds default_timeout{1'000}; // without a latency estimate

using fractional = std::chrono::duration<double>;

duration sum_of(std::span<const stage_estimate> stages, duration stage_estimate::*part) {
    duration sum{0};
    for (const auto& stage : stages) {
        sum += stage.*part;
    }
    return sum;
}

// The first stage's fraction of the time; equal fractions unless all stages have an estimate.
double first_share(std::span<const stage_estimate> stages) {
    const bool all_known = std::all_of(stages.begin(), stages.end(),
                                       [](const auto& stage) { return stage.high > duration{0}; });
    if (!all_known) {
        return 1.0 / static_cast<double>(stages.size());
    }
    return fractional{stages.front().high} / fractional{sum_of(stages, &stage_estimate::high)};
}

} // namespace

stage_times plan_stage(std::span<const stage_estimate> stages, time_point now,
                       time_point deadline) {
    const duration remaining = std::max(duration{0}, deadline - now);
    const auto share = fractional{remaining} * first_share(stages);
    const auto later = sum_of(stages.subspan(1), &stage_estimate::low);
    return {deadline - later, std::chrono::duration_cast<duration>(share)};
}

duration stall_timeout(const stage_estimate& stage, duration available) {
    const bool known = stage.high > duration{0};
    const duration timeout = known ? std::max<duration>(min_timeout, timeout_multiple * stage.high)
                                   : duration{default_timeout};
    return std::min(timeout, available / 2);
}

bool is_infeasible(std::span<const stage_estimate> stages, time_point now, time_point deadline) {
    return deadline - now <= sum_of(stages, &stage_estimate::low);
}

} // namespace boragefront::execution
