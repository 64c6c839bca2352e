/// \file
/// Which data centres this entry cannot reach.
///
/// Answers the pattern of a data centre that is cut off: each of its endpoints would be tried and
/// found unreachable by itself, again and again, and nearly every request would lose the time of a
/// connection attempt.
#pragma once

#include "base/time.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace boragefront::balancing {

/// Follows connection attempts of all services. Reads no clock.
class reachability {
public:
    /// Notes that an endpoint did not answer a connection attempt in time. One that refuses it is
    /// reached.
    void record_unreachable(std::string_view data_centre, std::string_view endpoint, time_point now);

    /// Notes that an endpoint answered.
    void record_reached(std::string_view data_centre);

    /// The data centres to avoid now. Once in a while one is left out, so that it is tried.
    std::set<std::string, std::less<>> avoided_data_centres(time_point now);

    /// Whether a data centre counts as cut off; unlike `avoided`, without exceptions.
    bool is_unreachable(std::string_view data_centre, time_point now) const;

private:
    struct failing {
        std::set<std::string, std::less<>> endpoints; ///< that failed since one was reached
        time_point last_failure{};
        time_point next_try{};
    };
    static bool is_unreachable(const failing& one, time_point now);

    std::map<std::string, failing, std::less<>> failing_; // by data centre
};

} // namespace boragefront::balancing
