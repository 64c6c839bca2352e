/// \file
/// Times of calls, by an endpoint's pace.
#pragma once

#include "base/time.hpp"

#include <cmath>

namespace boragefront::stages {

/// A time multiplied by a factor, rounded up to milliseconds.
inline milliseconds scaled(microseconds time, double factor) {
    return milliseconds{
        static_cast<std::int64_t>(std::ceil(static_cast<double>(time.count()) * factor / 1'000))};
}

} // namespace boragefront::stages
