#include "base/stall_detector.hpp"

#include <algorithm>

namespace boragefront {
namespace {

constexpr milliseconds stall_limit{1'000};
// Checks come several times a second. After a longer pause the watched loop has had no more time to
// take a turn than the watching one.
constexpr milliseconds max_check_gap{700};

} // namespace

loop_change stall_detector::check(time_point now) {
    if (now - last_check_ > max_check_gap) {
        watched_since_ = now;
    }
    last_check_ = now;
    const time_point last_turn{duration{last_turn_.load()}};
    const auto silent_for = now - std::max(last_turn, watched_since_);
    const bool was_stalled = stalled_;
    if (silent_for >= stall_limit) {
        stalled_ = true;
        stalled_for_ = now - last_turn;
    } else if (last_turn > watched_since_ || !was_stalled) {
        stalled_ = false;
    }
    if (stalled_ == was_stalled) {
        return loop_change::none;
    }
    return stalled_ ? loop_change::stalled : loop_change::resumed;
}

} // namespace boragefront
