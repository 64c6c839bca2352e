/// \file
#include "execution/recent_latency.hpp"

#include <algorithm>
#include <vector>

namespace boragefront::execution {
namespace {

constexpr std::size_t most_samples = 256;
constexpr std::size_t fewest_samples = 20;
constexpr seconds sample_lifetime{60};

} // namespace

void recent_latency::record(duration latency, time_point now) {
    samples_.push_back({latency, now});
    if (samples_.size() > most_samples) {
        samples_.pop_front();
    }
}

std::optional<duration> recent_latency::quantile(double quantile, time_point now) const {
    std::vector<duration> latencies;
    latencies.reserve(samples_.size());
    for (const auto& one : samples_) {
        if (now - one.recorded_at <= sample_lifetime) {
            latencies.push_back(one.latency);
        }
    }
    if (latencies.size() < fewest_samples) {
        return std::nullopt;
    }
    const auto last = static_cast<double>(latencies.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::clamp(quantile, 0.0, 1.0) * last);
    const auto nth = latencies.begin() + rank;
    std::nth_element(latencies.begin(), nth, latencies.end());
    return *nth;
}

} // namespace boragefront::execution
