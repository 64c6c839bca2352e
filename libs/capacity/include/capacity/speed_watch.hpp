/// \file
/// Finds endpoints whose speed has left the usual range for good.
#pragma once

#include "base/time.hpp"

#include <map>
#include <set>
#include <string>

namespace boragefront::capacity {

/// Reports when an endpoint's speed crosses 0.8 or 1.25 and stays there for 2 s.
class speed_watch {
public:
    enum class speed_range { usual, slow, fast };

    /// Records the current estimate.
    /// \returns whether a crossing became lasting.
    bool record(const std::string& endpoint, double speed, time_point now);

    /// The range that was last reported.
    speed_range range(const std::string& endpoint) const;

    static speed_range range_of(double speed);

    /// Drops all endpoints but these.
    void retain(const std::set<std::string>& endpoints);

private:
    struct watched {
        speed_range reported{speed_range::usual};
        speed_range current{speed_range::usual};
        time_point since{};
    };
    std::map<std::string, watched> endpoints_;
};

/// The name of a range, for logs.
const char* to_string(speed_watch::speed_range range);

} // namespace boragefront::capacity
