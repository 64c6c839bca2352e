/// \file
/// Estimates how long groups of a stage service take, including queueing.
///
/// In a burst on a pipeline, a stage that reserves only the unloaded time of its successors orders
/// its groups by deadlines that are too late, and requests miss their latency goal by the time
/// that they spend in the queues of later stages.
#pragma once

#include "base/time.hpp"

namespace boragefront::stages {

/// Smoothed mean and deviation of the durations of groups that were completed in time, as observed
/// by one entry. Reads no clock.
class group_duration_estimator {
public:
    /// Records a group that was completed by its soft deadline.
    /// \param elapsed time from the offer to the completion of its last piece
    void record(duration elapsed, time_point now);

    /// Returns the expected duration of a group.
    /// \param unloaded_time its duration on an idle endpoint: the lower bound, to which the
    /// estimate decays while no groups are recorded
    milliseconds expected(milliseconds unloaded_time, time_point now) const;

private:
    double mean_ms_{0};
    double deviation_ms_{0};
    time_point updated_at_{};
};

} // namespace boragefront::stages
