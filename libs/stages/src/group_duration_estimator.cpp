#include "stages/group_duration_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::stages {
namespace {

constexpr double smoothing_weight = 0.125; // as for TCP round-trip times (RFC 6298)
constexpr seconds decay_time{2}; // queueing observed in a burst is irrelevant seconds later

} // namespace

void group_duration_estimator::record(duration elapsed, time_point now) {
    const double elapsed_ms = std::chrono::duration<double, std::milli>(elapsed).count();
    if (updated_at_ == time_point{}) {
        mean_ms_ = elapsed_ms;
        deviation_ms_ = 0;
    }
    const double error = elapsed_ms - mean_ms_;
    deviation_ms_ += smoothing_weight * (std::abs(error) - deviation_ms_);
    mean_ms_ += smoothing_weight * error;
    updated_at_ = now;
}

milliseconds group_duration_estimator::expected(milliseconds unloaded_time, time_point now) const {
    if (updated_at_ == time_point{}) {
        return unloaded_time;
    }
    const auto unloaded_ms = static_cast<double>(unloaded_time.count());
    const double waiting_ms = std::max(mean_ms_ + deviation_ms_ - unloaded_ms, 0.0);
    const double age = std::chrono::duration<double>(now - updated_at_).count();
    const double decay = std::exp(-age / std::chrono::duration<double>(decay_time).count());
    return unloaded_time + milliseconds{static_cast<std::int64_t>(std::ceil(waiting_ms * decay))};
}

} // namespace boragefront::stages
