/// \file
/// Waiting by condition.
#pragma once

#include "base/time.hpp"

#include <thread>

namespace boragefront::support {

/// Waits until `condition` holds. \returns whether it did in time.
template <class Condition>
bool wait_until(milliseconds patience, Condition condition) {
    constexpr milliseconds check_interval{5};
    const auto until = steady_clock::now() + patience;
    while (!condition()) {
        if (steady_clock::now() >= until) {
            return false;
        }
        std::this_thread::sleep_for(check_interval);
    }
    return true;
}

} // namespace boragefront::support
