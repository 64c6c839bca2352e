/// \file
/// Estimates the dispatch rate of a priority lane.
#pragma once

#include "base/time.hpp"

namespace boragefront::admission {

/// Mean time between dispatches from one lane while work is queued there. Unlike a count of free
/// slots, it reflects slots reserved for urgent work, and urgent work that arrives later but is
/// dispatched first.
class lane_pace {
public:
    /// Starts the first interval; called when work is queued in an empty lane.
    void on_first_queued(time_point now) { last_dispatch_ = now; }

    /// Records a dispatch from the lane.
    /// \pre `on_first_queued` was called since the lane was last empty.
    void on_dispatch(time_point now);

    /// The mean interval between dispatches; zero until enough have been observed.
    duration mean_interval() const;

private:
    time_point last_dispatch_{};
    duration mean_interval_{0};
    unsigned dispatches_{0};
};

} // namespace boragefront::admission
