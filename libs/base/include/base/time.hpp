/// \file
/// Clocks and durations. Decision code takes a `time_point` as an argument and reads no clock.
#pragma once

#include <chrono>

namespace boragefront {

/// The clock that decisions use: monotonic, local to one machine.
using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using duration = steady_clock::duration;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A reading of another process's monotonic clock; not comparable with `time_point`.
struct remote_time {
    nanoseconds since_epoch{0};
    auto operator<=>(const remote_time&) const = default;
};

} // namespace boragefront
