#include "balancing/cold_limiter.hpp"

#include <cmath>

namespace boragefront::balancing {
namespace {

// Each sender needs two requests a second at least, or its share does not carry one request.
constexpr double least_share_per_second = 2;

std::size_t sender_count(const cold_limit& limit, const entry_group& group) {
    const auto most = static_cast<std::size_t>(limit.per_second / least_share_per_second);
    return std::clamp<std::size_t>(most, 1, group.size());
}

double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

cold_limiter::share cold_limiter::share_of(const cold_limit& limit, const entry_group& group) {
    const auto senders = static_cast<double>(sender_count(limit, group));
    const double spare = limit.per_second * (limit.tolerance - 1) + limit.slack;
    // Half of the spare room stays free for entries that this one does not know of.
    return {limit.per_second / senders, std::max(1.0, std::floor(spare / 2 / senders))};
}

double cold_limiter::tokens(const share& part, time_point now) const {
    if (filled_at_ == time_point{}) {
        return part.burst;
    }
    return std::min(part.burst, level_ + seconds_between(filled_at_, now) * part.per_second);
}

bool cold_limiter::may_send(const cold_limit& limit, const entry_group& group,
                            std::string_view endpoint, time_point now) const {
    if (limit.per_second <= 0) {
        return true;
    }
    return group.rank(endpoint) < sender_count(limit, group) &&
           tokens(share_of(limit, group), now) >= 1;
}

void cold_limiter::count(const cold_limit& limit, const entry_group& group, time_point now) {
    if (limit.per_second <= 0) {
        return;
    }
    level_ = tokens(share_of(limit, group), now) - 1;
    filled_at_ = now;
}

} // namespace boragefront::balancing
