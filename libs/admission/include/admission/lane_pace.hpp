/// \file
/// How fast a lane of waiting work moves.
#pragma once

#include "base/time.hpp"

namespace boragefront::admission {

/// The mean time between turns of one lane while work waits there. It covers what no count of slots
/// shows: more urgent work that arrives later and goes first, and slots kept for it.
class lane_pace {
public:
    /// Work arrives in a lane where none waits.
    void begin(time_point now) { last_turn_ = now; }

    /// Work leaves the lane for the endpoint. \pre `begin` was called since the lane was empty.
    void on_turn(time_point now);

    /// The mean time from one turn to the next; zero while too few were seen to tell.
    duration per_turn() const;

private:
    time_point last_turn_{};
    duration per_turn_{0};
    unsigned turns_{0};
};

} // namespace boragefront::admission
