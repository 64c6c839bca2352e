/// \file
/// Implementation of the scheduler's queries.
#include "work_scheduler.hpp"

namespace boragefront::sidecar {

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
    shown.usual_service_time = std::chrono::duration_cast<milliseconds>(times_.usual());
    shown.endpoint_instance = endpoint_.life();
    shown.endpoint_reachable = endpoint_.is_reachable();
    shown.ledger = ledger_.sizes();
    shown.refusals = refusals_;
    shown.fall_backs = fall_backs_;
    shown.completed = completed_;
    shown.pauses = pauses_;
    return shown;
}

} // namespace boragefront::sidecar
