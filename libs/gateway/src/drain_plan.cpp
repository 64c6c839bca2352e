#include "gateway/drain_plan.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

// The balancer asks once a second and takes an instance out after two misses.
constexpr milliseconds withdrawn_after{2'600};
// What was sent within 3 s of the signal may be cut at the end of the grace time, by the platform's
// rules; what was sent later must have ended by then. The rest is the way here.
constexpr milliseconds takes_all_for{2'900};
// What is left of the grace time when answers in progress are cut: time to exit in order.
constexpr milliseconds exit_margin{900};
constexpr milliseconds restart_time{900}; // from an exit until the successor serves
// The balancer's next look, within a second, finds the entry that serves; half of that on average.
constexpr milliseconds elsewhere_after{500};

} // namespace

drain_plan drain_plan::make(time_point begins, milliseconds grace) {
    drain_plan plan;
    plan.withdrawn_at_ = begins + std::min(withdrawn_after, grace / 2);
    plan.takes_all_until_ = begins + std::min(takes_all_for, grace / 2);
    plan.exit_at_ = begins + std::max(grace - exit_margin, exit_margin);
    return plan;
}

bool drain_plan::takes(milliseconds longest, time_point now) const {
    return now < takes_all_until_ || now + longest < exit_at_;
}

milliseconds drain_plan::retry_after(bool others_serve, time_point now) const {
    if (others_serve) {
        return elsewhere_after;
    }
    return std::chrono::ceil<milliseconds>(std::max(exit_at_ - now, duration{0})) + restart_time;
}

} // namespace boragefront::gateway
