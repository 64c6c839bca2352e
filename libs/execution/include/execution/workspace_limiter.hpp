/// \file
/// Rate and concurrency limits of one workspace at one entry.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

namespace boragefront::execution {

/// Limits from the published workspace; zero is unlimited.
struct workspace_limits {
    double rate{0.0}; ///< requests per second
    unsigned max_in_flight{0};
};

/// Admits the requests of one workspace, with a token bucket that holds one second's requests and a
/// limit on requests in flight.
class workspace_limiter {
public:
    /// Admits one request. \returns `over_limit` with the reason.
    result<void> admit(const workspace_limits& limits, time_point now);

    /// Called when an admitted request has ended.
    void release();

    unsigned in_flight() const { return in_flight_; }

private:
    double tokens_{0.0};
    bool started_{false};
    time_point refilled_at_{};
    unsigned in_flight_{0};
};

} // namespace boragefront::execution
