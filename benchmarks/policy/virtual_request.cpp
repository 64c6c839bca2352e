/// \file
#include "virtual_request.hpp"

#include <algorithm>

namespace boragefront::bench {
namespace {

constexpr seconds heartbeat_interval{1};
constexpr milliseconds local_delay{0};
constexpr milliseconds early{50};
constexpr unsigned unbounded_attempts = 20;

config::limits limits_of(const endpoint_traits& traits) {
    config::limits limits;
    limits.concurrency = traits.concurrency;
    return limits;
}

config::ramp ramp_of(const endpoint_traits& traits) {
    config::ramp ramp;
    ramp.cold_limit = traits.cold_limit;
    return ramp;
}

sidecar::scheduler_policy policy_with(sidecar::scheduler_mechanisms mechanisms) {
    sidecar::scheduler_policy policy;
    policy.mechanisms = mechanisms;
    return policy;
}

} // namespace

double milliseconds_of(duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

virtual_node::virtual_node(virtual_clock& clock, std::string pool_name, std::string name,
                           std::string place, endpoint_traits traits,
                           sidecar::scheduler_mechanisms mechanisms, std::uint64_t seed)
    : pool{std::move(pool_name)}, id{std::move(name)}, data_centre{std::move(place)},
      endpoint{clock, traits, seed}, sidecar{clock, endpoint, policy_with(mechanisms),
                                             limits_of(traits), ramp_of(traits)} {}

virtual_entry::virtual_entry(fleet& all, const policy_plan& policy, std::string data_centre,
                             duration between_data_centres, std::uint64_t seed)
    : all_{all}, policy_{policy}, data_centre_{std::move(data_centre)},
      between_data_centres_{between_data_centres}, random_{seed}, decisions_{policy.choice} {
    hear();
}

void virtual_entry::hear() {
    heard_.clear();
    for (const auto& node : all_.nodes) {
        const auto state = node->sidecar.state();
        routing::endpoint_view view;
        view.id = node->id;
        view.data_centre = node->data_centre;
        view.data_address = node->id;
        view.limit = state.limit;
        view.reported_in_flight = static_cast<unsigned>(state.running);
        view.reported_queued = static_cast<unsigned>(state.queued_urgent + state.queued_normal +
                                                     state.queued_background);
        view.service_time = state.usual_service_time;
        view.heard_at = all_.clock.now();
        heard_.push_back(std::move(view));
    }
    all_.clock.after(heartbeat_interval, [this] { hear(); });
}

void virtual_entry::receive(const service_plan& service) {
    ++all_.result.services[service.name].offered;
    std::make_shared<virtual_request>(*this, service)->begin_stage();
}

virtual_node* virtual_entry::choose(std::string_view pool, const std::vector<std::string>& tried) {
    std::vector<routing::endpoint_view> views;
    for (std::size_t i = 0; i < heard_.size(); ++i) {
        if (all_.nodes[i]->pool == pool) {
            views.push_back(heard_[i]);
            views.back().tried = std::find(tried.begin(), tried.end(), heard_[i].id) != tried.end();
        }
    }
    routing::choice_request request;
    request.data_centre = data_centre_;
    const auto chosen = decisions_.begin_attempt(views, request, random_, all_.clock.now());
    if (!chosen) {
        return nullptr;
    }
    const auto found = std::find_if(all_.nodes.begin(), all_.nodes.end(),
                                    [&](const auto& node) { return node->id == chosen->id; });
    return found->get();
}

duration virtual_entry::delay_to(const virtual_node& node) const {
    return node.data_centre == data_centre_ ? duration{local_delay} : between_data_centres_;
}

std::string virtual_entry::next_request_id() {
    constexpr wall_time origin{milliseconds{1'764'800'000'000}};
    const auto since = all_.clock.now().time_since_epoch();
    return make_uuid7(origin + std::chrono::duration_cast<milliseconds>(since), random_);
}

virtual_request::virtual_request(virtual_entry& home, const service_plan& service)
    : home_{home}, service_{service}, id_{home.next_request_id()}, arrived_{home.all().clock.now()},
      deadline_{arrived_ + service.deadline} {}

entry::stage_key virtual_request::key_of(std::size_t stage) const {
    return {service_.name, service_.pools[stage]};
}

config::profile virtual_request::profile() const {
    config::profile profile;
    profile.deadline = service_.deadline;
    profile.priority = service_.lane;
    profile.hedging.enabled = home_.policy().hedging;
    if (!home_.policy().bounded_retries) {
        profile.retries.max_attempts = unbounded_attempts;
    }
    return profile;
}

void virtual_request::begin_stage() {
    const auto now = home_.all().clock.now();
    std::vector<execution::stage_estimate> estimates;
    for (auto stage = stage_; stage < service_.pools.size(); ++stage) {
        estimates.push_back(home_.decisions().estimate(key_of(stage), now));
    }
    if (home_.policy().early_refusal && execution::is_infeasible(estimates, now, deadline_)) {
        answer_error(make_error(error_kind::over_limit, "hopeless"));
        return;
    }
    const auto wanted = profile();
    const auto times = execution::plan_stage(estimates, now, deadline_);
    execution::idempotent_limits limits;
    limits.max_attempts = wanted.retries.max_attempts;
    limits.stall_after = times.share;
    limits.deadline = times.deadline;
    if (wanted.hedging.enabled) {
        limits.hedge_after =
            home_.decisions().quantile(key_of(stage_), wanted.hedging.quantile, now);
    }
    home_.all().result.cost.stages += service_.pipeline ? 1 : 0;
    step(std::make_shared<race>(
        race{stage_, execution::idempotent_stage{limits}, times, {}, {}, false}));
}

execution::idempotent_step virtual_request::next_step(race& running, time_point now) {
    if (home_.policy().bounded_retries) {
        return home_.decisions().step(running.machine, key_of(running.stage), profile(), now);
    }
    constexpr double plenty = 1e9;
    execution::stage_budgets unbounded{execution::attempt_budget{plenty, plenty},
                                       execution::attempt_budget{plenty, plenty}};
    return running.machine.next(now, unbounded);
}

void virtual_request::step(const race_ptr& running) {
    while (!running->over) {
        const auto now = home_.all().clock.now();
        const auto next = next_step(*running, now);
        if (const auto* launched = std::get_if<execution::launch_attempt>(&next)) {
            launch(running, launched->attempt);
        } else if (std::holds_alternative<execution::use_result>(next)) {
            stage_done(running);
        } else if (const auto* end = std::get_if<execution::give_up>(&next)) {
            end_race(running);
            answer_error(end->failure);
        } else {
            const auto until = std::get<execution::wait_until>(next).at;
            home_.all().clock.at(std::max(until, now),
                                 [self = shared_from_this(), running] { self->step(running); });
            return;
        }
    }
}

void virtual_request::launch(const race_ptr& running, unsigned number) {
    auto& clock = home_.all().clock;
    auto* node = home_.choose(service_.pools[running->stage], running->tried);
    running->attempts.push_back({node, clock.now(), false});
    if (node == nullptr) {
        clock.after(duration{0}, [self = shared_from_this(), running, number] {
            self->on_error(running, number, make_error(error_kind::no_endpoint, "none"));
            self->step(running);
        });
        return;
    }
    home_.all().result.cost.attempts += service_.pipeline ? 1 : 0;
    running->tried.push_back(node->id);
    sidecar::offered_work work;
    work.record.id = {id_, static_cast<std::uint32_t>(running->stage), number};
    work.record.expires_at = running->times.deadline;
    work.life = node->sidecar.life();
    work.lane = service_.lane;
    work.workspace = service_.name;
    work.idempotent = true;
    const auto delay = home_.delay_to(*node);
    auto deliver = [self = shared_from_this(), running, number, delay](const auto& what) {
        const auto load = running->attempts.at(number).node->sidecar.load();
        self->home_.all().clock.after(delay, [self, running, number, what, load] {
            self->on_outcome(running, number, what, load);
        });
    };
    clock.after(delay, [node, work, deliver] { node->sidecar.offer(work, deliver); });
}

void virtual_request::on_outcome(const race_ptr& running, unsigned number,
                                 const ledger::outcome& what, routing::load_report load) {
    home_.decisions().record_load(running->attempts.at(number).node->id, load,
                                  home_.all().clock.now());
    if (const auto* answer = std::get_if<ledger::answer>(&what)) {
        on_answer(running, number, answer->service_time);
    } else {
        on_error(running, number, std::get<error>(what));
    }
    step(running);
}

void virtual_request::on_answer(const race_ptr& running, unsigned number, duration service_time) {
    auto& record = running->attempts.at(number);
    auto& cost = home_.all().result.cost;
    const auto now = home_.all().clock.now();
    if (record.ended) {
        return;
    }
    record.ended = true;
    home_.decisions().end_attempt(record.node->id);
    home_.decisions().record_success(record.node->id);
    const bool won = !running->over && running->machine.on_success(number);
    if (won) {
        cost.useful += milliseconds_of(service_time);
        home_.decisions().record_stage_completion(key_of(running->stage), now - record.launched_at,
                                                  now);
    }
}

void virtual_request::on_error(const race_ptr& running, unsigned number, const error& failure) {
    auto& record = running->attempts.at(number);
    if (record.ended) {
        return;
    }
    const auto now = home_.all().clock.now();
    record.ended = true;
    if (record.node != nullptr) {
        home_.decisions().end_attempt(record.node->id);
        if (failure.kind == error_kind::stage_failed ||
            failure.kind == error_kind::connection_lost ||
            failure.kind == error_kind::connect_failed) {
            home_.decisions().record_failure(record.node->id, now);
        }
    }
    if (!running->over) {
        running->machine.on_failure(number, failure, now);
    }
}

void virtual_request::end_race(const race_ptr& running) {
    running->over = true;
    auto& all = home_.all();
    const auto now = all.clock.now();
    for (unsigned number = 0; number < running->attempts.size(); ++number) {
        auto& record = running->attempts[number];
        if (record.ended) {
            continue;
        }
        record.ended = true;
        home_.decisions().end_attempt(record.node->id);
        const auto elapsed = now - record.launched_at;
        if (running->machine.winner()) {
            home_.decisions().record_latency(key_of(running->stage), elapsed, now);
            const auto usual =
                home_.decisions().quantile(key_of(running->stage), config::hedge{}.quantile, now);
            if (usual && elapsed > 2 * *usual) {
                home_.decisions().record_failure(record.node->id, now);
            }
        } else if (now >= running->times.deadline) {
            home_.decisions().record_timeout(record.node->id, now);
        }
        const work_id id{id_, static_cast<std::uint32_t>(running->stage), number};
        all.clock.after(home_.delay_to(*record.node),
                        [node = record.node, id] { node->sidecar.abandon(id); });
    }
}

void virtual_request::stage_done(const race_ptr& running) {
    end_race(running);
    ++stage_;
    if (stage_ < service_.pools.size()) {
        begin_stage();
        return;
    }
    auto& tally = home_.all().result.services[service_.name];
    const auto now = home_.all().clock.now();
    ++(now <= deadline_ ? tally.attained : tally.late);
    if (now <= std::min(deadline_, home_.all().arrivals_end)) {
        ++tally.attained_meanwhile;
    }
}

void virtual_request::answer_error(const error& failure) {
    auto& tally = home_.all().result.services[service_.name];
    ++tally.refused;
    ++tally.errors[std::string{properties_of(failure.kind).name} + ": " + failure.detail];
    if (home_.all().clock.now() - arrived_ <= early) {
        ++tally.refused_early;
    }
}

} // namespace boragefront::bench
