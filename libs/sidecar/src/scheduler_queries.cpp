/// \file
/// Implementation of the scheduler's queries.
#include "work_scheduler.hpp"

#include <algorithm>

namespace boragefront::sidecar {
namespace {

using admission::waiting_work;

constexpr double quick_quantile = 0.25;

} // namespace

// Whether the work ahead and its own service time take it past its deadline. Never so at an idle
// endpoint, for otherwise a wrong estimate could not be corrected by more work.
bool work_scheduler::is_hopeless(const waiting_work& work, time_point now) const {
    if (running_.empty() && queue_.size() == 0) {
        return false;
    }
    const auto own = times_.quantile(quick_quantile).value_or(duration::zero());
    return now + expected_wait(work, now) + own > work.expires_at;
}

// The longer of what the free slots and what the lane's pace say: slots follow a limit that has
// just changed, and the pace knows of urgent work that goes first.
duration work_scheduler::expected_wait(const waiting_work& work, time_point now) const {
    const auto ahead = queue_.ahead_of(work);
    const std::size_t slots = std::max(1U, limit(now));
    const auto used = running_.size() + abandoned_.held(now);
    const auto free = slots > used ? slots - used : 0;
    const auto turns = ahead + 1 > free ? ahead + 1 - free : 0;
    const auto by_slots =
        times_.median() * static_cast<duration::rep>(turns) / static_cast<duration::rep>(slots);
    std::size_t ahead_in_lane = ahead;
    for (auto lane = config::lane::urgent; lane < work.lane;
         lane = static_cast<config::lane>(static_cast<int>(lane) + 1)) {
        ahead_in_lane -= std::min(ahead_in_lane, queue_.size(lane));
    }
    const auto& pace = paces_.at(static_cast<std::size_t>(work.lane));
    const bool waits = ahead_in_lane > 0;
    const auto by_pace =
        waits ? pace.mean_interval() * static_cast<duration::rep>(ahead_in_lane + 1) : duration{0};
    return std::max(by_slots, by_pace);
}

service_phase work_scheduler::phase(time_point now) const {
    const bool endpoint_usable = endpoint_.is_reachable() &&
                                 (settled_in_ || !policy_.abandoned.enabled) &&
                                 abandoned_.held(now) < policy_.limits.concurrency;
    if (wanted_phase_ == service_phase::serving && !endpoint_usable) {
        return service_phase::starting;
    }
    return wanted_phase_;
}

std::optional<ledger::outcome> work_scheduler::outcome_of(const work_id& id) const {
    return ledger_.outcome_of(id);
}

scheduler_state work_scheduler::state(time_point now) const {
    scheduler_state shown;
    shown.phase = phase(now);
    shown.limit = limit(now);
    shown.full_limit = ramp_.full_limit();
    shown.cold_cause = to_string(ramp_.last_cause());
    shown.running = running_.size();
    shown.held_by_abandoned = abandoned_.held(now);
    shown.queued_urgent = queue_.size(config::lane::urgent);
    shown.queued_normal = queue_.size(config::lane::normal);
    shown.queued_background = queue_.size(config::lane::background);
    shown.usual_service_time = std::chrono::duration_cast<milliseconds>(times_.median());
    shown.endpoint_instance = endpoint_.incarnation();
    shown.endpoint_reachable = endpoint_.is_reachable();
    shown.ledger = ledger_.sizes();
    shown.refusals = refusals_;
    shown.fall_backs = fall_backs_;
    shown.completed = completed_;
    shown.pauses = pauses_;
    return shown;
}

} // namespace boragefront::sidecar
