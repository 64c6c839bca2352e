/// \file
/// How one deadline is shared among the stages that remain.
#pragma once

#include "base/time.hpp"

#include <span>

namespace boragefront::execution {

/// What one stage takes, from measured quantiles; zero where nothing is known.
struct stage_estimate {
    duration fastest{0}; ///< hardly any answer takes less
    duration usual{0};   ///< half of the answers take less
    duration high{0};    ///< nearly all answers take less
};

/// The times within which the first of the remaining stages must be done.
struct stage_times {
    /// Past this the rest cannot be done in time: the deadline less what the later stages take.
    time_point deadline;
    /// The stage's share of the time, in proportion to the high quantiles.
    duration share{0};
};

/// Shares the time up to `deadline` among `stages`.
/// \pre `stages` is not empty.
stage_times plan_stage(std::span<const stage_estimate> stages, time_point now, time_point deadline);

/// How long an answer is waited for before something is done about its absence: well past the
/// usual, and early enough that as much time again is left.
/// \param available the time that there is for the stage.
duration patience_for(const stage_estimate& stage, duration available);

/// Whether the remaining stages cannot be done in time even if each is as fast as ever.
bool is_hopeless(std::span<const stage_estimate> stages, time_point now, time_point deadline);

} // namespace boragefront::execution
