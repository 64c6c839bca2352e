/// \file
/// A lower bound for the service of less urgent priorities. Pure: reads no clock.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace boragefront::fairness {

/// Strict priorities starve less urgent work while more urgent work takes all capacity. Tells which
/// priority is served, over 10 s, less than about a quarter as often as all work. Work that arrived
/// in the last 2 s gives no claim, since it may well be served in the usual order.
class priority_floor {
public:
    /// Records work that arrived, whether or not it was accepted.
    /// \param cost in the unit of `record_start`
    void record_arrival(int priority, double cost, time_point now);

    /// Records that work was started.
    void record_start(int priority, double cost, time_point now);

    /// Whether work of this priority is served too seldom, and has to go first.
    bool is_starved(int priority, time_point now) const;

private:
    struct second_totals {
        std::int64_t second{0};
        double arrived{0};
        double started{0};
    };
    struct totals {
        double arrived{0};
        double started{0};
    };
    using history = std::deque<second_totals>;

    static second_totals& current(history& of, time_point now);
    static totals sum(const history& of, time_point now);

    std::map<int, history> by_priority_;
};

} // namespace boragefront::fairness
