/// \file
/// How long groups of a stage service take in practice, waiting included.
///
/// Answers the pattern of a burst on a pipeline: a stage that leaves its successors only their time
/// on idle endpoints works in the order of goals that are too late, and every request then misses
/// its own by the time it waits behind others further on.
#pragma once

#include "base/time.hpp"

namespace boragefront::stages {

/// A smoothed mean and deviation of the groups that were made in time, as one entry saw them.
/// Reads no clock.
class group_duration_estimator {
public:
    /// Notes a group that was made by the time at which it was wanted.
    /// \param took from the offer until its last piece was made
    void record(duration took, time_point now);

    /// What a group is likely to take.
    /// \param idle_time its time on an idle endpoint: the least, and what is expected once no group
    /// has been noted for long
    milliseconds expected(milliseconds idle_time, time_point now) const;

private:
    double mean_ms_{0};
    double deviation_ms_{0};
    time_point noted_at_{};
};

} // namespace boragefront::stages
