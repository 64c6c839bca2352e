/// \file
/// Quantiles of the service times of an endpoint's most recent requests.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace boragefront::admission {

/// A sliding window over the service times of completed requests. Quantiles over a window follow a
/// changed workload and are insensitive to single outliers.
class service_times {
public:
    /// Adds the service time of one completed request.
    void record(duration value);

    /// Discards all samples, for example after the endpoint was replaced.
    void clear() { size_ = next_ = 0; }

    std::size_t count() const { return size_; }

    /// The `q`-quantile of the window.
    /// \param q 0 to 1.
    /// \returns nothing if the window is empty.
    std::optional<duration> quantile(double q) const;

    /// The median; zero if the window is empty.
    duration median() const;

private:
    static constexpr std::size_t window = 64;
    std::array<duration, window> values_{};
    std::size_t size_{0};
    std::size_t next_{0};
};

} // namespace boragefront::admission
