#include "gateway/drain_plan.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

// The balancer asks once a second and takes an instance out after two misses.
constexpr milliseconds withdrawn_after{2'600};
// What is left of the grace time when answers in progress are cut: time to exit in order.
constexpr milliseconds exit_margin{900};
constexpr milliseconds restart_time{900}; // from an exit until the successor serves

} // namespace

drain_plan drain_plan::make(time_point begins, milliseconds grace) {
    drain_plan plan;
    plan.withdrawn_at_ = begins + std::min(withdrawn_after, grace / 2);
    plan.exit_at_ = begins + std::max(grace - exit_margin, exit_margin);
    return plan;
}

bool drain_plan::takes(std::optional<milliseconds> longest, time_point now) const {
    return now < withdrawn_at_ || (longest && now + *longest < exit_at_);
}

milliseconds drain_plan::retry_after(time_point now) const {
    return std::chrono::ceil<milliseconds>(std::max(exit_at_ - now, duration{0})) + restart_time;
}

} // namespace boragefront::gateway
