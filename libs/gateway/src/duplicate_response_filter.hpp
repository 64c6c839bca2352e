/// \file
/// Detection of duplicate responses to stage calls.
///
/// Guards against an endpoint that responds twice on a reused connection. Responses to stage calls
/// carry no request id, so a duplicate with the right number of results would be accepted as the
/// response to the next call.
#pragma once

#include "base/time.hpp"
#include "stages/piece.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

namespace boragefront::gateway {

/// Remembers the result handles of recent responses. A handle contains its endpoint's address and
/// is never reused.
class duplicate_response_filter {
public:
    /// Whether any of these results was part of an earlier response, or is named twice in this one.
    bool is_duplicate(const std::vector<stages::piece_result>& results) const {
        std::unordered_set<std::string_view> named;
        return std::any_of(results.begin(), results.end(), [&](const auto& result) {
            return !result.handle.empty() &&
                   (handles_.contains(result.handle) || !named.insert(result.handle).second);
        });
    }

    /// Records the results of a response.
    void record(const std::vector<stages::piece_result>& results, time_point now) {
        while (!by_time_.empty() && now - by_time_.front().first > retention) {
            handles_.erase(by_time_.front().second);
            by_time_.pop_front();
        }
        for (const auto& result : results) {
            if (!result.handle.empty() && handles_.insert(result.handle).second) {
                by_time_.emplace_back(now, result.handle);
            }
        }
    }

private:
    // A duplicate arrives while its connection is still pooled, and calls take a fraction of a
    // second.
    static constexpr seconds retention{5};

    std::unordered_set<std::string> handles_;
    std::deque<std::pair<time_point, std::string>> by_time_;
};

} // namespace boragefront::gateway
