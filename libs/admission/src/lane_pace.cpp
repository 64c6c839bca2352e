/// \file
#include "admission/lane_pace.hpp"

#include <algorithm>

namespace boragefront::admission {
namespace {
constexpr unsigned window = 16; // dispatches averaged
}

void lane_pace::on_dispatch(time_point now) {
    const auto interval = now - last_dispatch_;
    last_dispatch_ = now;
    dispatches_ = std::min(dispatches_ + 1, window);
    mean_interval_ += (interval - mean_interval_) / dispatches_;
}

duration lane_pace::mean_interval() const {
    return dispatches_ < window ? duration{0} : mean_interval_;
}

} // namespace boragefront::admission
