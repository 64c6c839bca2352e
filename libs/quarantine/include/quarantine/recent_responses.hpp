/// \file
/// When responses to prompts with a part were last sound.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::quarantine {

/// Remembers a bounded number of parts, the most recently answered ones. Reads no clock.
class recent_responses {
public:
    /// Records that a response to a prompt with these parts was sound.
    void record(const std::vector<std::string>& parts, time_point sound_at);

    /// When a response to a prompt with this part was last sound.
    std::optional<time_point> last(std::string_view part) const;

    /// Whether at least `count` responses, to any prompts, were sound after `since`.
    /// \pre `count` is at most 16.
    bool any_after(time_point since, std::size_t count) const;

    std::size_t size() const { return by_part_.size(); }

private:
    struct response {
        std::string part;
        time_point sound_at;
    };
    std::list<response> by_recency_;
    std::map<std::string, std::list<response>::iterator, std::less<>> by_part_;
    std::deque<time_point> latest_; // newest first
};

} // namespace boragefront::quarantine
