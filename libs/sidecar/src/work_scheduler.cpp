/// \file
/// Implementation of admission, dispatch and their record.
#include "work_scheduler.hpp"

#include <algorithm>

namespace boragefront::sidecar {
namespace {

using admission::cold_cause;
using admission::waiting_work;
using std::chrono::duration_cast;

constexpr double slow_quantile = 0.95;
constexpr std::size_t least_samples = 8;

error too_late() {
    return make_error(error_kind::expired, "the deadline passed before the work began");
}

} // namespace

work_scheduler::work_scheduler(scheduler_policy policy, incarnation life, clock_reading now)
    : policy_{policy}, life_{life}, ledger_{policy.ledger, now.wall},
      queue_{policy.limits.queue, policy.mechanisms.queue}, ramp_{policy.limits, policy.ramp,
                                                                  policy.mechanisms.ramp},
      abandoned_{policy.abandoned}, endpoint_{policy.endpoint, now.steady}, started_{now.steady},
      phase_since_{now.steady}, last_decision_{now.steady}, held_until_{now.steady} {
    assume_predecessor(policy.limits.concurrency);
}

// Until reports tell, a predecessor may have left the endpoint in full use.
void work_scheduler::assume_predecessor(unsigned running) {
    if (!settled_in_ && running > assumed_running_) {
        abandoned_.assume_predecessor(running - assumed_running_, started_);
        assumed_running_ = running;
    }
}

ledger::work_response work_scheduler::offer(const offered_work& work, clock_reading now) {
    note_time(now.steady);
    const auto& id = work.record.id;
    if (work.life != life_) {
        auto reason = make_error(error_kind::wrong_incarnation, "another incarnation was meant");
        return refuse(id, std::move(reason), now);
    }
    // Before the age of its key is judged: a retry may find this sidecar ready.
    if (auto reason = phase_objection(now.steady); reason && !ledger_.contains(work.record)) {
        return refuse(id, std::move(*reason), now);
    }
    auto record = work.record;
    record.expires_at = std::min(record.expires_at, now.steady + policy_.longest_deadline);
    auto known = ledger_.submit(record, now);
    if (const auto* ended = std::get_if<ledger::settled>(&known)) {
        if (const auto* reason = std::get_if<error>(&ended->result)) {
            count_refusal(*reason);
        }
    }
    if (!std::holds_alternative<ledger::admitted>(known)) {
        return known;
    }
    waiting_work waiting{id, work.lane, work.workspace, work.share, record.expires_at};
    if (auto reason = objection(waiting, now.steady)) {
        return refuse(id, std::move(*reason), now);
    }
    waiting_[id] = work.idempotent;
    return enqueue(std::move(waiting), now);
}

ledger::work_response work_scheduler::release(const offered_work& work, clock_reading now) {
    note_time(now.steady);
    if (work.life != life_) {
        auto reason = make_error(error_kind::wrong_incarnation, work_ran::unknown,
                                 "another incarnation was meant");
        return refuse(work.record.id, std::move(reason), now);
    }
    return ledger_.release(work.record, now);
}

ledger::work_response work_scheduler::ask(const work_id& id, clock_reading now) {
    return ledger_.query(id, now);
}

ledger::work_response work_scheduler::refuse(const work_id& id, error reason, clock_reading now) {
    count_refusal(reason);
    return ledger_.refuse(id, std::move(reason), now);
}

ledger::work_response work_scheduler::enqueue(waiting_work work, clock_reading now) {
    const auto id = work.id;
    if (work.lane == config::lane::urgent) {
        last_urgent_ = now.steady;
    }
    if (queue_.size(work.lane) == 0) {
        paces_.at(static_cast<std::size_t>(work.lane)).on_first_queued(now.steady);
    }
    auto pushed = queue_.push(std::move(work));
    if (std::holds_alternative<admission::queue_full>(pushed)) {
        waiting_.erase(id);
        return refuse(id, make_error(error_kind::over_limit, "the queue is full"), now);
    }
    if (auto& displaced = std::get<admission::queued>(pushed).displaced) {
        refuse_waiting(*displaced,
                       make_error(error_kind::over_limit, "gave way to more urgent work"), now);
    }
    return ledger::admitted{};
}

std::optional<error> work_scheduler::phase_objection(time_point now) const {
    if (!policy_.mechanisms.check_phase) {
        return std::nullopt;
    }
    switch (phase(now)) {
    case service_phase::serving:
        return std::nullopt;
    case service_phase::starting:
        return make_error(error_kind::not_ready, "the endpoint is not known well enough yet");
    case service_phase::draining:
        return make_error(error_kind::shutting_down, "the sidecar is draining");
    case service_phase::out:
        break;
    }
    return make_error(error_kind::shutting_down, "the endpoint or its data centre is out");
}

std::optional<error> work_scheduler::objection(const waiting_work& work, time_point now) const {
    if (work.expires_at <= now) {
        return too_late();
    }
    if (policy_.mechanisms.refuse_hopeless && is_hopeless(work, now)) {
        return make_error(error_kind::over_limit, "the deadline cannot be met");
    }
    return std::nullopt;
}

std::optional<work_id> work_scheduler::next(clock_reading now) {
    note_time(now.steady);
    refuse_what_may_not_wait(now);
    if (now.steady < held_until_) {
        return std::nullopt;
    }
    while (auto work = pop_within_limit(now.steady)) {
        if (policy_.mechanisms.recheck_at_dispatch && work->expires_at <= now.steady) {
            refuse_waiting(*work, too_late(), now);
            continue;
        }
        const bool idempotent = waiting_[work->id];
        waiting_.erase(work->id);
        if (!ledger_.start(work->id)) {
            continue;
        }
        running_.insert_or_assign(work->id, running_work{now.steady, work->expires_at,
                                                         ramp_.warm_up(), idempotent, false});
        abandoned_.set_own_running(running_.size(), now.steady);
        return work->id;
    }
    return std::nullopt;
}

// An endpoint that was not heard from lately may have restarted since.
unsigned work_scheduler::limit(time_point now) const {
    const auto earned = ramp_.limit();
    return endpoint_.contacted_recently(now) || !policy_.mechanisms.ramp
               ? earned
               : std::min(earned, policy_.ramp.cold_limit);
}

std::optional<waiting_work> work_scheduler::pop_within_limit(time_point now) {
    const std::size_t slots = limit(now);
    const auto used = running_.size() + abandoned_.held(now);
    if (used >= slots) {
        return std::nullopt;
    }
    const bool urgent_expected = policy_.mechanisms.reserve_urgent && last_urgent_ &&
                                 now - *last_urgent_ < policy_.urgent_memory;
    const bool last_slot = slots > 1 && used + 1 == slots;
    // Where a slot soon frees itself, one that is kept only costs capacity.
    const bool frees_late = times_.count() == 0 || times_.median() > policy_.urgent_wait * slots;
    auto popped = queue_.pop(urgent_expected && last_slot && frees_late);
    if (popped) {
        paces_.at(static_cast<std::size_t>(popped->lane)).on_dispatch(now);
    }
    return popped;
}

void work_scheduler::refuse_what_may_not_wait(clock_reading now) {
    if (policy_.mechanisms.recheck_at_dispatch) {
        for (const auto& work : queue_.take_expired(now.steady)) {
            refuse_waiting(work, too_late(), now);
        }
    }
    const bool in_grace = phase(now.steady) == service_phase::draining &&
                          now.steady < phase_since_ + policy_.drain_grace;
    if (in_grace || queue_.size() == 0) {
        return;
    }
    if (const auto reason = phase_objection(now.steady)) {
        for (const auto& work : queue_.take_all()) {
            refuse_waiting(work, *reason, now);
        }
    }
}

void work_scheduler::refuse_waiting(const waiting_work& work, error reason, clock_reading now) {
    waiting_.erase(work.id);
    refuse(work.id, std::move(reason), now);
    settled_.push_back(work.id);
}

void work_scheduler::finish(const work_id& id, call_end how, ledger::outcome what,
                            clock_reading now) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const auto ended = found->second;
    running_.erase(found);
    ledger_.finish(id, std::move(what), now);
    settled_.push_back(id);
    account_for(how, ended, now.steady);
    abandoned_.set_own_running(running_.size(), now.steady);
}

void work_scheduler::account_for(call_end how, const running_work& ended, time_point now) {
    switch (how) {
    case call_end::answered:
        ++completed_;
        endpoint_.on_contact(now);
        if (ended.pauses == pauses_) {
            times_.record(now - ended.started);
        }
        ramp_.on_completed(ended.warm_up);
        break;
    case call_end::failed:
    case call_end::malformed:
        endpoint_.on_contact(now);
        break;
    case call_end::overloaded:
        endpoint_.on_contact(now);
        fall_back(cold_cause::overloaded);
        held_until_ = std::max(held_until_, now + policy_.overload_hold);
        break;
    case call_end::not_connected:
        endpoint_.on_connect_failure();
        fall_back(cold_cause::connection_failed);
        break;
    case call_end::lost:
        fall_back(cold_cause::connection_failed);
        abandoned_.add(now);
        break;
    case call_end::timed_out:
        abandoned_.add(now);
        break;
    case call_end::cancelled:
        abandoned_.add_cancelled(now);
        break;
    }
}

bool work_scheduler::abandon(const work_id& id, clock_reading now) {
    if (const auto found = running_.find(id); found != running_.end()) {
        return found->second.idempotent;
    }
    const auto found = waiting_.find(id);
    if (found != waiting_.end() && found->second && queue_.remove(id)) {
        auto reason = make_error(error_kind::cancelled, work_ran::no, "cancelled while it waited");
        waiting_work removed;
        removed.id = id;
        refuse_waiting(removed, std::move(reason), now);
    }
    return false;
}

void work_scheduler::tick(clock_reading now) {
    note_time(now.steady);
    refuse_what_may_not_wait(now);
    find_slow_work(now.steady);
    abandoned_.set_own_running(running_.size(), now.steady);
    ledger_.evict_expired(now);
}

// A process that was paused acts on what it knew before; it gives the control plane time to catch
// up before it sends anything to the endpoint.
void work_scheduler::note_time(time_point now) {
    if (now - last_decision_ > policy_.pause_threshold) {
        held_until_ = now + policy_.wake_hold;
        ++pauses_;
    }
    last_decision_ = now;
}

// An endpoint that turns cold without a word shows it by its service time, and long before the
// slow work completes.
void work_scheduler::find_slow_work(time_point now) {
    if (times_.count() < least_samples) {
        return;
    }
    const auto usual = times_.quantile(slow_quantile).value_or(duration::zero());
    const auto slow = std::max(duration_cast<duration>(usual * policy_.ramp.slow_factor),
                               duration{policy_.least_slow_time});
    const bool found = std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
        const auto& work = entry.second;
        return work.warm_up == ramp_.warm_up() && now - work.started > slow;
    });
    if (found) {
        fall_back(cold_cause::slow);
    }
}

void work_scheduler::on_load_report(const load_report& report, clock_reading now) {
    endpoint_.on_report(now.steady);
    note_endpoint(report.answering.empty() ? report.instance : report.answering, now.steady);
    if (report.instance != endpoint_.incarnation()) {
        return;
    }
    if (ramp_.set_reported_cold(report.cold)) {
        count_fall_back(cold_cause::reported_cold);
    }
    if (endpoint_.note_cached_prefixes(report.cached_prefixes)) {
        fall_back(cold_cause::cache_lost);
    }
    abandoned_.on_report(report.running, now.steady);
    settled_in_ = settled_in_ || abandoned_.held(now.steady) < assumed_running_;
}

void work_scheduler::on_load_failure(bool refused, clock_reading now) {
    if (endpoint_.on_report_failure(refused, now.steady)) {
        fall_back(cold_cause::connection_failed);
    }
}

void work_scheduler::note_endpoint(const std::string& instance, time_point now) {
    if (endpoint_.note_incarnation(instance) == admission::endpoint_incarnation::restarted) {
        fall_back(cold_cause::endpoint_restarted);
        abandoned_.clear();
        abandoned_.set_own_running(running_.size(), now);
    }
}

void work_scheduler::set_phase(service_phase phase, clock_reading now) {
    if (phase != wanted_phase_) {
        wanted_phase_ = phase;
        phase_since_ = now.steady;
    }
    refuse_what_may_not_wait(now);
}

void work_scheduler::set_policy(config::limits limits, config::ramp ramp) {
    policy_.limits = limits;
    policy_.ramp = ramp;
    ramp_.set_policy(limits, ramp);
    queue_.set_capacity(limits.queue);
    assume_predecessor(limits.concurrency);
}

std::vector<work_id> work_scheduler::take_settled() {
    return std::exchange(settled_, {});
}

void work_scheduler::fall_back(cold_cause cause) {
    ramp_.fall_back(cause);
    count_fall_back(cause);
}

void work_scheduler::count_fall_back(cold_cause cause) {
    ++fall_backs_[std::string{to_string(cause)}];
}

void work_scheduler::count_refusal(const error& reason) {
    ++refusals_[std::string{properties_of(reason.kind).name}];
}

} // namespace boragefront::sidecar
