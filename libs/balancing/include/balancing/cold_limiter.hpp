/// \file
/// Limits the request rate of a cold endpoint across all entries, without coordination.
#pragma once

#include "balancing/entry_group.hpp"
#include "base/time.hpp"

#include <string_view>

namespace boragefront::balancing {

/// Request rate that a cold endpoint accepts from all entries together.
struct cold_limit {
    double per_second{0}; ///< 0: unlimited
    double tolerance{1};  ///< at most `per_second * tolerance + slack` requests in any second
    double slack{0};
};

/// This entry's share of the limit of one endpoint. Rendezvous hashing selects the entries that may
/// send to a cold endpoint, at most so many that the share of each is at least one request.
class cold_limiter {
public:
    /// Returns whether a request may be sent now.
    bool may_send(const cold_limit& limit, const entry_group& group, std::string_view endpoint,
                  time_point now) const;

    /// Records a request that was sent while the endpoint was cold.
    void record_send(const cold_limit& limit, const entry_group& group, time_point now);

private:
    struct token_bucket {
        double per_second;
        double burst;
    };
    static token_bucket bucket_for(const cold_limit& limit, const entry_group& group);
    double available_tokens(const token_bucket& bucket, time_point now) const;

    double tokens_{0};
    time_point refilled_at_{};
};

} // namespace boragefront::balancing
