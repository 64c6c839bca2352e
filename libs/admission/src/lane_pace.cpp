/// \file
#include "admission/lane_pace.hpp"

namespace boragefront::admission {
namespace {
constexpr int memory = 16; // turns over which the mean is taken
}

void lane_pace::on_turn(time_point now) {
    const auto interval = now - last_turn_;
    last_turn_ = now;
    per_turn_ = per_turn_ == duration{0} ? interval : per_turn_ + (interval - per_turn_) / memory;
}

} // namespace boragefront::admission
