/// \file
/// How the latency of one endpoint grows with the number of requests in progress there.
#pragma once

#include "base/time.hpp"

namespace boragefront::capacity {

/// A line fitted to recent latencies by least squares; older observations lose their weight.
class load_curve {
public:
    /// Records a request.
    /// \param in_progress number of requests at the endpoint, including this one.
    /// \param latency of the request, in any unit that stays the same.
    void record(unsigned in_progress, double latency, time_point now);

    /// The number of requests up to which latency rises no faster than throughput; 0 if the
    /// observations do not show that latency rises with load.
    double concurrency() const;

    /// The latency to expect; without a clear rise with load it is the mean. Undefined before the
    /// first observation.
    double latency_at(unsigned in_progress) const;

private:
    struct line {
        double intercept;
        double slope; // 0 if the observations show no rise
    };
    line fit() const;

    double weight_{0};
    double load_{0}; // weighted sums
    double load_squared_{0};
    double latency_{0};
    double latency_squared_{0};
    double product_{0};
    time_point recorded_at_{};
};

} // namespace boragefront::capacity
