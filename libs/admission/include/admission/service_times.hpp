/// \file
/// The service times of an endpoint's latest requests.
#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace boragefront::admission {

/// A sliding window over completed requests, from which the usual service time is judged. A window
/// of quantiles follows a changed workload and is not moved by single outliers.
class service_times {
public:
    /// Adds the service time of one completed request.
    void record(duration value);

    /// Forgets everything, as when the endpoint was replaced.
    void clear() { size_ = next_ = 0; }

    std::size_t count() const { return size_; }

    /// \param q 0 to 1.
    /// \returns nothing while the window is empty.
    std::optional<duration> quantile(double q) const;

    /// The median, or zero while the window is empty.
    duration usual() const;

private:
    static constexpr std::size_t window = 64;
    std::array<duration, window> values_{};
    std::size_t size_{0};
    std::size_t next_{0};
};

} // namespace boragefront::admission
