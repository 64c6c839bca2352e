#include "gateway/drain_plan.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

// The load balancer checks readiness once a second and removes an instance after two failed checks.
constexpr milliseconds withdrawal_delay{2'600};
// By the platform's rules, requests sent within 3 s of the signal may be cut off at the end of the
// grace period; later ones must have ended by then. The remaining 100 ms allow for transmission.
constexpr milliseconds accept_all_period{2'900};
// Part of the grace period that remains for an orderly exit after responses have been cut off.
constexpr milliseconds exit_margin{900};
constexpr milliseconds restart_duration{900}; // from exit until the successor is serving
// The load balancer finds a serving entry at its next check: within 1 s, after 0.5 s on average.
constexpr milliseconds other_entry_retry{500};

} // namespace

drain_plan drain_plan::make(time_point started_at, milliseconds grace) {
    drain_plan plan;
    plan.withdrawn_at_ = started_at + std::min(withdrawal_delay, grace / 2);
    plan.accepts_all_until_ = started_at + std::min(accept_all_period, grace / 2);
    plan.exit_at_ = started_at + std::max(grace - exit_margin, exit_margin);
    return plan;
}

bool drain_plan::accepts(milliseconds max_duration, time_point now) const {
    return now < accepts_all_until_ || now + max_duration < exit_at_;
}

milliseconds drain_plan::retry_after(bool other_entry_serves, time_point now) const {
    if (other_entry_serves) {
        return other_entry_retry;
    }
    return std::chrono::ceil<milliseconds>(std::max(exit_at_ - now, duration{0})) +
           restart_duration;
}

} // namespace boragefront::gateway
