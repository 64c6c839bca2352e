#include "balancing/cold_limiter.hpp"

#include <cmath>

namespace boragefront::balancing {
namespace {

// With fewer than two requests per second the share of a sender can be less than one request.
constexpr double min_share_per_second = 2;

std::size_t sender_count(const cold_limit& limit, const entry_group& group) {
    const auto max_senders = static_cast<std::size_t>(limit.per_second / min_share_per_second);
    return std::clamp<std::size_t>(max_senders, 1, group.size());
}

double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

cold_limiter::token_bucket cold_limiter::bucket_for(const cold_limit& limit,
                                                    const entry_group& group) {
    const auto senders = static_cast<double>(sender_count(limit, group));
    const double spare = limit.per_second * (limit.tolerance - 1) + limit.slack;
    // Half of the spare capacity is reserved for entries that this one does not know.
    return {limit.per_second / senders, std::max(1.0, std::floor(spare / 2 / senders))};
}

double cold_limiter::available_tokens(const token_bucket& bucket, time_point now) const {
    if (refilled_at_ == time_point{}) {
        return bucket.burst;
    }
    return std::min(bucket.burst, tokens_ + seconds_between(refilled_at_, now) * bucket.per_second);
}

bool cold_limiter::may_send(const cold_limit& limit, const entry_group& group,
                            std::string_view endpoint, time_point now) const {
    if (limit.per_second <= 0) {
        return true;
    }
    return group.rank(endpoint) < sender_count(limit, group) &&
           available_tokens(bucket_for(limit, group), now) >= 1;
}

void cold_limiter::record_send(const cold_limit& limit, const entry_group& group, time_point now) {
    if (limit.per_second <= 0) {
        return;
    }
    tokens_ = available_tokens(bucket_for(limit, group), now) - 1;
    refilled_at_ = now;
}

} // namespace boragefront::balancing
