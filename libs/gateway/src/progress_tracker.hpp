/// \file
/// When an answer that has begun counts as stalled.
///
/// Answers the pattern of an endpoint that keeps a connection busy with a byte now and then: each
/// byte would begin the wait anew, and the answer would neither end nor be given up.
#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace boragefront::gateway {

/// Follows what counts as progress: whole events of a stream, or a body's bytes in portions that an
/// endpoint at work sends. Reads no clock.
class progress_watch {
public:
    /// \param portion how much is one step of progress, at least 1
    progress_watch(std::size_t portion, time_point now) : portion_{portion}, since_{now} {}

    /// Notes what has arrived.
    void note(std::size_t amount, time_point now) {
        arrived_ += amount;
        if (arrived_ >= portion_) {
            arrived_ = 0;
            since_ = now;
            any_ = true;
        }
    }

    /// When the last progress was; at first the beginning.
    time_point since() const { return since_; }

    /// Whether there was any progress.
    bool any() const { return any_; }

private:
    std::size_t portion_;
    std::size_t arrived_{0};
    time_point since_;
    bool any_{false};
};

} // namespace boragefront::gateway
