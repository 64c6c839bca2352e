/// \file
/// Model workers of which each crashes that begins to write an answer on one part of a prompt.
#pragma once

#include "world.hpp"

namespace review {

/// What a worker has sent of its answer as it crashes.
enum class crash_point : std::uint8_t { head, first_event };

struct poison_plan {
    crash_point crash_at{crash_point::head};
    milliseconds sound_interval{100}; ///< between sound requests
    milliseconds poison_interval{1'000};
    milliseconds poison_for{30'000};
};

/// Plays the plan and judges the rule BUDGET on parts that crash workers.
/// \returns 1 if it was broken, 0 if it held, 2 if the case could not run.
int play_poison(const poison_plan& plan, const std::string& directory);

} // namespace review
