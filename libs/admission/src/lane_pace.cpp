/// \file
#include "admission/lane_pace.hpp"

#include <algorithm>

namespace boragefront::admission {
namespace {
constexpr unsigned memory = 16; // turns over which the mean is taken
}

void lane_pace::on_turn(time_point now) {
    const auto interval = now - last_turn_;
    last_turn_ = now;
    turns_ = std::min(turns_ + 1, memory);
    per_turn_ += (interval - per_turn_) / turns_;
}

duration lane_pace::per_turn() const {
    return turns_ < memory ? duration{0} : per_turn_;
}

} // namespace boragefront::admission
