/// \file
#include "admission/service_times.hpp"

#include <algorithm>

namespace boragefront::admission {

void service_times::record(duration value) {
    values_.at(next_) = value;
    next_ = (next_ + 1) % window;
    size_ = std::min(size_ + 1, window);
}

std::optional<duration> service_times::quantile(double q) const {
    if (size_ == 0) {
        return std::nullopt;
    }
    auto sorted = values_;
    const auto last = static_cast<double>(size_ - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::clamp(q, 0.0, 1.0) * last);
    std::nth_element(sorted.begin(), sorted.begin() + rank,
                     sorted.begin() + static_cast<std::ptrdiff_t>(size_));
    return sorted.at(static_cast<std::size_t>(rank));
}

duration service_times::median() const {
    constexpr double median_quantile = 0.5;
    return quantile(median_quantile).value_or(duration::zero());
}

} // namespace boragefront::admission
