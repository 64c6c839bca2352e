/// \file
/// Detects a stalled event loop by its missing heartbeats.
#pragma once

#include "base/time.hpp"

#include <atomic>
#include <cstdint>

namespace boragefront {

/// What a check of an event loop found.
enum class loop_change : std::uint8_t { none, stalled, resumed };

/// Monitors one event loop from the thread of another one. A suspended process stalls all its
/// loops; the monitoring one detects that by the gap between its own checks, and reports no stall.
class stall_detector {
public:
    /// \param started_at when the loop begins to run
    static stall_detector make(time_point started_at) { return stall_detector{started_at}; }

    /// Records a heartbeat of the monitored loop. Thread-safe.
    void record_heartbeat(time_point now) { last_heartbeat_ = now.time_since_epoch().count(); }

    /// Checks the monitored loop. Called on one thread, several times a second.
    /// \returns `stalled` once a second has passed without a heartbeat, `resumed` at the next one.
    loop_change check(time_point now);

    /// How long the last stall took, or has taken until the last check.
    duration stalled_for() const { return stalled_for_; }

private:
    explicit stall_detector(time_point started_at)
        : last_heartbeat_{started_at.time_since_epoch().count()}, last_check_{started_at},
          monitored_since_{started_at} {}

    std::atomic<duration::rep> last_heartbeat_; ///< since the clock's epoch
    time_point last_check_;
    time_point monitored_since_; ///< since the last gap between checks
    bool stalled_{false};
    duration stalled_for_{0};
};

} // namespace boragefront
