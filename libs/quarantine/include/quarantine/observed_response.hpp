/// \file
/// What the response to one request shows about the parts of its prompt.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace boragefront::quarantine {

/// How much of a response has arrived.
enum class response_progress : std::uint8_t {
    none,
    head,
    first_content, ///< and nothing since
    content,
};

/// A response whose content goes on for this long counts as sound before its end. Parts that crash
/// engines do so when the response begins.
inline constexpr milliseconds sound_response_time{1'000};

/// The response to one request, as it arrives. That its content begins shows nothing yet: the
/// engine may crash right after it. Reads no clock.
class observed_response {
public:
    /// Records the head.
    void record_head();

    /// Records that content arrived.
    /// \returns whether it shows anew that the response is sound, which it does at intervals.
    bool record_content(time_point now);

    response_progress progress() const { return progress_; }

    /// Whether the response has turned out to be sound. Losing its engine then says nothing about
    /// its prompt.
    bool is_sound() const { return sound_at_.has_value(); }

    /// When its content began; empty if there was none.
    std::optional<time_point> content_at() const { return content_at_; }

private:
    response_progress progress_{response_progress::none};
    std::optional<time_point> content_at_;
    std::optional<time_point> sound_at_; // when that was shown last
};

} // namespace boragefront::quarantine
