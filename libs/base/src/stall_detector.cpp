#include "base/stall_detector.hpp"

#include <algorithm>

namespace boragefront {
namespace {

constexpr milliseconds stall_limit{1'000};
// Checks come several times a second. A longer gap means that the process was suspended.
constexpr milliseconds max_check_gap{700};

} // namespace

loop_change stall_detector::check(time_point now) {
    if (now - last_check_ > max_check_gap) {
        monitored_since_ = now;
    }
    last_check_ = now;
    const time_point last_heartbeat{duration{last_heartbeat_.load()}};
    const auto silent_for = now - std::max(last_heartbeat, monitored_since_);
    const bool was_stalled = stalled_;
    if (silent_for >= stall_limit) {
        stalled_ = true;
        stalled_for_ = now - last_heartbeat;
    } else if (last_heartbeat > monitored_since_ || !was_stalled) {
        stalled_ = false;
    }
    if (stalled_ == was_stalled) {
        return loop_change::none;
    }
    return stalled_ ? loop_change::stalled : loop_change::resumed;
}

} // namespace boragefront
