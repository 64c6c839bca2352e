/// \file
/// Detects that an event loop takes no turns.
#pragma once

#include "base/time.hpp"

#include <atomic>
#include <cstdint>

namespace boragefront {

/// What a check of an event loop found.
enum class loop_change : std::uint8_t { none, stalled, resumed };

/// Watches one event loop from the thread of another one. A suspended process stalls all its loops;
/// the watching one notices that by its own pause, and does not report it.
class stall_detector {
public:
    /// \param started_at when the loop begins to run
    static stall_detector make(time_point started_at) { return stall_detector{started_at}; }

    /// Records a turn of the watched loop. Thread-safe.
    void record_turn(time_point now) { last_turn_ = now.time_since_epoch().count(); }

    /// Checks the watched loop. Called on one thread, several times a second.
    /// \returns `stalled` once the loop has taken no turn for a second, `resumed` at its next one.
    loop_change check(time_point now);

    /// How long the last stall took, or has taken until the last check.
    duration stalled_for() const { return stalled_for_; }

private:
    explicit stall_detector(time_point started_at)
        : last_turn_{started_at.time_since_epoch().count()}, last_check_{started_at},
          watched_since_{started_at} {}

    std::atomic<duration::rep> last_turn_; ///< since the clock's epoch
    time_point last_check_;
    time_point watched_since_; ///< without a pause of the watching loop
    bool stalled_{false};
    duration stalled_for_{0};
};

} // namespace boragefront
