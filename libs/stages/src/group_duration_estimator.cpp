#include "stages/group_duration_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::stages {
namespace {

constexpr double newest_weight = 0.125; // as TCP smooths its round-trip times (RFC 6298)
constexpr seconds memory{2};            // a queue that is worked off is forgotten within seconds

} // namespace

void group_duration_estimator::record(duration took, time_point now) {
    const double took_ms = std::chrono::duration<double, std::milli>(took).count();
    if (noted_at_ == time_point{}) {
        mean_ms_ = took_ms;
        deviation_ms_ = 0;
    }
    const double error = took_ms - mean_ms_;
    deviation_ms_ += newest_weight * (std::abs(error) - deviation_ms_);
    mean_ms_ += newest_weight * error;
    noted_at_ = now;
}

milliseconds group_duration_estimator::expected(milliseconds idle_time, time_point now) const {
    if (noted_at_ == time_point{}) {
        return idle_time;
    }
    const auto idle_ms = static_cast<double>(idle_time.count());
    const double waiting_ms = std::max(mean_ms_ + deviation_ms_ - idle_ms, 0.0);
    const double age = std::chrono::duration<double>(now - noted_at_).count();
    const double kept = std::exp(-age / std::chrono::duration<double>(memory).count());
    return idle_time + milliseconds{static_cast<std::int64_t>(std::ceil(waiting_ms * kept))};
}

} // namespace boragefront::stages
