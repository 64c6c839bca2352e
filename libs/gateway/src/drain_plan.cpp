#include "gateway/drain_plan.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

// The load balancer checks readiness once a second and removes an instance after two failed checks.
constexpr milliseconds withdrawal_delay{2'600};
// By the platform's rules, requests sent within 3 s of the signal may be cut off at the end of the
// grace period; later ones must have ended by then. The remaining 100 ms allow for transmission.
constexpr milliseconds initial_period{2'900};
// Part of the grace period that remains for an orderly exit after responses have been cut off.
constexpr milliseconds exit_margin{900};
constexpr int answer_divisor = 3; // part of the exit margin in which the last answers are sent
constexpr milliseconds restart_duration{900}; // from exit until the successor is serving
// The load balancer finds a serving entry at its next check: within 1 s, after 0.5 s on average.
constexpr milliseconds other_entry_retry{500};
// Times the longest recent duration, for a request that may not be repeated.
constexpr int duration_margin_factor = 2;

} // namespace

drain_plan drain_plan::make(time_point started_at, milliseconds grace) {
    drain_plan plan;
    plan.withdrawn_at_ = started_at + std::min(withdrawal_delay, grace / 2);
    plan.initial_period_ends_at_ = started_at + std::min(initial_period, grace / 2);
    plan.exit_at_ = started_at + std::max(grace - exit_margin, exit_margin);
    plan.answered_by_ =
        plan.exit_at_ +
        std::max<duration>(started_at + grace - plan.exit_at_, duration{0}) / answer_divisor;
    return plan;
}

bool drain_plan::accepts(const request_durations& durations, bool may_repeat,
                         bool other_entry_serves, time_point now) const {
    if (now + durations.limit < exit_at_) {
        return true;
    }
    if (now >= initial_period_ends_at_) {
        return false;
    }
    return may_repeat || !other_entry_serves ||
           (durations.longest_recent &&
            now + *durations.longest_recent * duration_margin_factor < exit_at_);
}

bool drain_plan::may_send(milliseconds limit, std::optional<milliseconds> typical_latency,
                          time_point now) const {
    return now + std::min(limit, typical_latency.value_or(milliseconds{0})) < exit_at_;
}

milliseconds drain_plan::retry_after(bool other_entry_serves, time_point now) const {
    if (other_entry_serves) {
        return other_entry_retry;
    }
    return std::chrono::ceil<milliseconds>(std::max(exit_at_ - now, duration{0})) +
           restart_duration;
}

} // namespace boragefront::gateway
