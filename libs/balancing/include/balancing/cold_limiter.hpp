/// \file
/// Limits what a cold endpoint gets, over all entries, without coordination.
#pragma once

#include "balancing/entry_group.hpp"
#include "base/time.hpp"

#include <string_view>

namespace boragefront::balancing {

/// What a cold endpoint bears from all entries together.
struct cold_limit {
    double per_second{0}; ///< 0 is no limit
    double tolerance{1};  ///< in one second it bears `per_second * tolerance + slack`
    double slack{0};
};

/// This entry's share of the limit of one endpoint. Only as many entries send to a cold endpoint as
/// can each have a whole request of its limit; which ones follows from a rendezvous hash.
class cold_limiter {
public:
    /// Whether a request may be sent now.
    bool may_send(const cold_limit& limit, const entry_group& group, std::string_view endpoint,
                  time_point now) const;

    /// Counts a request that was sent while the endpoint was cold.
    void count(const cold_limit& limit, const entry_group& group, time_point now);

private:
    // This entry's part: a token bucket.
    struct share {
        double per_second;
        double burst;
    };
    static share share_of(const cold_limit& limit, const entry_group& group);
    double tokens(const share& part, time_point now) const;

    double level_{0};
    time_point filled_at_{};
};

} // namespace boragefront::balancing
