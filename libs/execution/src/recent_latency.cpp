/// \file
#include "execution/recent_latency.hpp"

#include <algorithm>
#include <vector>

namespace boragefront::execution {
namespace {

constexpr std::size_t max_samples = 256;
constexpr std::size_t min_samples = 20;
constexpr seconds sample_lifetime{60};

} // namespace

void recent_latency::record(duration latency, time_point now) {
    samples_.push_back({latency, now});
    if (samples_.size() > max_samples) {
        samples_.pop_front();
    }
}

std::optional<duration> recent_latency::quantile(double quantile, time_point now) const {
    std::vector<duration> latencies;
    latencies.reserve(samples_.size());
    for (const auto& each : samples_) {
        if (now - each.recorded_at <= sample_lifetime) {
            latencies.push_back(each.latency);
        }
    }
    if (latencies.size() < min_samples) {
        return std::nullopt;
    }
    const auto last = static_cast<double>(latencies.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::clamp(quantile, 0.0, 1.0) * last);
    const auto nth = latencies.begin() + rank;
    std::nth_element(latencies.begin(), nth, latencies.end());
    return *nth;
}

} // namespace boragefront::execution
