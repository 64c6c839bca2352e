/// \file
/// A clock that jumps from event to event.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace boragefront::bench {

/// Runs actions in the order of their times; those of one time in the order of their scheduling.
class virtual_clock {
public:
    time_point now() const { return now_; }

    void at(time_point when, std::function<void()> action) {
        events_.push({when, order_++, std::move(action)});
    }

    void after(duration delay, std::function<void()> action) {
        at(now_ + delay, std::move(action));
    }

    /// Runs every action up to `end`, then stands at `end`.
    void run_until(time_point end) {
        while (!events_.empty() && events_.top().when <= end) {
            auto next = events_.top();
            events_.pop();
            now_ = next.when;
            next.action();
        }
        now_ = end;
    }

private:
    struct event {
        time_point when;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    // The epoch of the clock is "never" in decision code.
    time_point now_{seconds{1'000}};
    std::uint64_t order_{0};
    std::priority_queue<event> events_;
};

} // namespace boragefront::bench
