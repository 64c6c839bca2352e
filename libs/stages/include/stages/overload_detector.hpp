/// \file
/// Tells a queue that a burst leaves behind from one that does not drain.
///
/// Groups that have missed their latency goal are served after all others. While new ones take up
/// the whole capacity, they would wait until their callers give up.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace boragefront::stages {

/// Observes whether late work keeps waiting, in the manner of CoDel (RFC 8289). Reads no clock.
class overload_detector {
public:
    /// Records that late work is waiting.
    void record_late_work(time_point now);

    /// For how long late work has been waiting, with short interruptions. Empty if not for long
    /// enough to count as an overload.
    std::optional<milliseconds> overloaded_for(time_point now) const;

private:
    std::optional<time_point> last_late_at_;
    time_point late_since_{};
    bool overloaded_{false};
};

} // namespace boragefront::stages
