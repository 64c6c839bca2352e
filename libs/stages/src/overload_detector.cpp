#include "stages/overload_detector.hpp"

namespace boragefront::stages {
namespace {

constexpr milliseconds min_overload_time{2'500};      // several calls
constexpr milliseconds max_interruption{300};         // about a call
constexpr milliseconds time_without_late_work{1'500}; // that ends an overload

} // namespace

void overload_detector::record_late_work(time_point now) {
    const auto max_gap = overloaded_ ? time_without_late_work : max_interruption;
    if (!last_late_at_ || now - *last_late_at_ > max_gap) {
        late_since_ = now;
    }
    last_late_at_ = now;
    overloaded_ = now - late_since_ >= min_overload_time;
}

std::optional<milliseconds> overload_detector::overloaded_for(time_point now) const {
    if (!overloaded_ || now - *last_late_at_ > time_without_late_work) {
        return std::nullopt;
    }
    return std::chrono::floor<milliseconds>(now - late_since_);
}

} // namespace boragefront::stages
