/// \file
/// Progress of a response, for the detection of stalls.
///
/// Guards against an endpoint that sends a single byte now and then: if each byte restarted the
/// timeout, the response would neither end nor be abandoned.
#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace boragefront::gateway {

/// Tracks progress in steps: complete events of a stream, or as many bytes of a body as a working
/// endpoint sends at a time. Reads no clock.
class progress_tracker {
public:
    /// \param step events or bytes that count as progress, at least 1
    /// \param now start of the response
    progress_tracker(std::size_t step, time_point now) : step_{step}, last_progress_at_{now} {}

    /// Records received events or bytes.
    void record(std::size_t amount, time_point now) {
        received_ += amount;
        if (received_ >= step_) {
            received_ = 0;
            last_progress_at_ = now;
            has_progress_ = true;
        }
    }

    /// Time of the last progress, initially the start of the response.
    time_point last_progress_at() const { return last_progress_at_; }

    bool has_progress() const { return has_progress_; }

private:
    std::size_t step_;
    std::size_t received_{0};
    time_point last_progress_at_;
    bool has_progress_{false};
};

} // namespace boragefront::gateway
