/// \file
/// Tells a second copy of an answer to a call for pieces from the answer to the call after it.
///
/// Answers the pattern of an endpoint that answers twice on a connection in use again: answers to
/// calls for pieces name no request, and by their length alone one would pass for another.
#pragma once

#include "base/time.hpp"
#include "stages/piece.hpp"

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace boragefront::gateway {

/// The handles that endpoints have answered with lately. They name the endpoint's address, and none
/// is used twice.
class answer_copies {
public:
    /// Whether any of these results came with an earlier answer.
    bool is_copy(const std::vector<stages::piece_result>& results) const {
        return std::any_of(results.begin(), results.end(), [&](const auto& one) {
            return !one.handle.empty() && seen_.contains(one.handle);
        });
    }

    /// Remembers the results of an answer.
    void note(const std::vector<stages::piece_result>& results, time_point now) {
        while (!in_order_.empty() && now - in_order_.front().first > remembered_for) {
            seen_.erase(in_order_.front().second);
            in_order_.pop_front();
        }
        for (const auto& one : results) {
            if (!one.handle.empty() && seen_.insert(one.handle).second) {
                in_order_.emplace_back(now, one.handle);
            }
        }
    }

private:
    // A copy comes while its connection is still pooled, and calls take a fraction of a second.
    static constexpr seconds remembered_for{5};

    std::unordered_set<std::string> seen_;
    std::deque<std::pair<time_point, std::string>> in_order_;
};

} // namespace boragefront::gateway
