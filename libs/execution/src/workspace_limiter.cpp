/// \file
#include "execution/workspace_limiter.hpp"

#include <algorithm>
#include <string>

namespace boragefront::execution {

result<void> workspace_limiter::admit(const workspace_limits& limits, time_point now) {
    if (limits.max_in_flight > 0 && in_flight_ >= limits.max_in_flight) {
        return make_error(error_kind::over_limit, "the workspace has " +
                                                      std::to_string(in_flight_) +
                                                      " requests in flight at this entry");
    }
    if (limits.rate > 0.0) {
        const double capacity = std::max(1.0, limits.rate);
        const std::chrono::duration<double> elapsed = now - refilled_at_;
        tokens_ = started_ ? std::min(capacity, tokens_ + elapsed.count() * limits.rate) : capacity;
        started_ = true;
        refilled_at_ = now;
        if (tokens_ < 1.0) {
            return make_error(error_kind::over_limit,
                              "the workspace has reached its rate limit at this entry");
        }
        tokens_ -= 1.0;
    }
    ++in_flight_;
    return success();
}

void workspace_limiter::release() {
    --in_flight_;
}

} // namespace boragefront::execution
