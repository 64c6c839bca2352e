/// \file
/// Detects data centres that this entry cannot reach.
///
/// Without it, each endpoint of a partitioned data centre is tried and found unreachable separately
/// and repeatedly, and nearly every request loses the time of a connection attempt.
#pragma once

#include "base/time.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace boragefront::balancing {

/// Tracks connection attempts of all services. Reads no clock.
class reachability {
public:
    /// Records that a connection attempt timed out. An endpoint that refuses a connection is
    /// reachable.
    void record_unreachable(std::string_view data_centre, std::string_view endpoint,
                            time_point now);

    /// Records that an endpoint answered.
    void record_reached(std::string_view data_centre);

    /// The data centres to avoid now. Leaves out each of them at regular intervals, so that a
    /// request probes it.
    std::set<std::string, std::less<>> avoided_data_centres(time_point now);

    /// Returns whether a data centre is unreachable, also when `avoided_data_centres` leaves it out
    /// for a probe.
    bool is_unreachable(std::string_view data_centre, time_point now) const;

private:
    struct failure_record {
        std::set<std::string, std::less<>> endpoints; ///< since the last answer
        time_point last_failure{};
        time_point next_probe{};
    };
    static bool is_unreachable(const failure_record& record, time_point now);

    std::map<std::string, failure_record, std::less<>> failures_; // by data centre
};

} // namespace boragefront::balancing
