/// \file
/// Quantiles over a sliding window of latencies, so that decisions follow current conditions.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace boragefront::execution {

/// The latencies of the last few hundred answers, none older than a minute.
class recent_latency {
public:
    void record(duration latency, time_point now);

    /// A quantile of the recent latencies.
    /// \param quantile from 0 to 1.
    /// \returns nothing if there are too few samples.
    std::optional<duration> quantile(double quantile, time_point now) const;

private:
    struct sample {
        duration latency;
        time_point recorded_at;
    };
    std::deque<sample> samples_;
};

} // namespace boragefront::execution
