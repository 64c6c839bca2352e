/// \file
/// The longest of the recent durations of something.
#pragma once

#include "base/time.hpp"

#include <algorithm>
#include <optional>

namespace boragefront::gateway {

/// Remembers a duration for one to two periods. Reads no clock.
class longest_recent {
public:
    static constexpr seconds period{30};

    void record(milliseconds duration, time_point now) {
        rotate(now);
        current_ = std::max(current_.value_or(duration), duration);
    }

    /// Empty if nothing was recorded recently.
    std::optional<milliseconds> value(time_point now) {
        rotate(now);
        return std::max(current_, previous_); // an empty optional is less than any value
    }

private:
    void rotate(time_point now) {
        if (now < period_began_at_ + period) {
            return;
        }
        previous_ = now < period_began_at_ + 2 * period ? current_ : std::nullopt;
        current_.reset();
        period_began_at_ = now;
    }

    time_point period_began_at_{};
    std::optional<milliseconds> current_;
    std::optional<milliseconds> previous_;
};

} // namespace boragefront::gateway
