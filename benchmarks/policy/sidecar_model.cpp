/// \file
#include "sidecar_model.hpp"

namespace boragefront::bench {
namespace {

constexpr milliseconds tick_interval{20};
constexpr milliseconds load_interval{50};

// The wall clock of the bench: any fixed moment will do as the origin.
constexpr wall_time wall_origin{milliseconds{1'764'800'000'000}};

struct ended_call {
    sidecar::call_end how;
    ledger::outcome what;
};

ended_call translate(run_end how, duration took) {
    using sidecar::call_end;
    switch (how) {
    case run_end::answered:
        return {call_end::answered,
                ledger::answer{.content_type = {},
                               .body = {},
                               .service_time = std::chrono::duration_cast<microseconds>(took)}};
    case run_end::failed:
        return {call_end::failed, make_error(error_kind::stage_failed, "failed")};
    case run_end::overloaded:
        return {call_end::overloaded, make_error(error_kind::over_limit, "overloaded")};
    case run_end::not_connected:
        return {call_end::not_connected, make_error(error_kind::connect_failed, "down")};
    case run_end::lost:
        break;
    }
    return {call_end::lost, make_error(error_kind::connection_lost, "fell over")};
}

} // namespace

sidecar_model::sidecar_model(virtual_clock& clock, endpoint_model& endpoint,
                             const sidecar::scheduler_policy& policy, config::limits limits,
                             config::ramp ramp)
    : clock_{clock}, endpoint_{endpoint}, scheduler_{policy, life_, reading()} {
    scheduler_.set_policy(limits, ramp);
    scheduler_.set_phase(control::service_phase::serving, reading());
    tick();
    read_load();
}

void sidecar_model::offer(const sidecar::offered_work& work, on_outcome done) {
    const auto id = work.record.id;
    const auto arrival = scheduler_.offer(work, reading());
    if (const auto* settled = std::get_if<ledger::settled>(&arrival)) {
        done(settled->result);
    } else {
        waiting_[id] = std::move(done);
    }
    dispatch();
}

void sidecar_model::abandon(const work_id& id) {
    waiting_.erase(id);
    const bool cancel = scheduler_.abandon(id, reading());
    const auto call = calls_.find(id);
    if (cancel && call != calls_.end()) {
        endpoint_.cancel(call->second);
        calls_.erase(call);
        scheduler_.finish(id, sidecar::call_end::cancelled,
                          make_error(error_kind::cancelled, "cancelled"), reading());
    }
    dispatch();
}

routing::load_report sidecar_model::load() const {
    return {scheduler_.limit(clock_.now()), static_cast<unsigned>(scheduler_.running()),
            static_cast<unsigned>(scheduler_.queued()),
            std::chrono::duration_cast<microseconds>(scheduler_.usual_service_time())};
}

sidecar::clock_reading sidecar_model::reading() const {
    const auto since = clock_.now().time_since_epoch();
    return {clock_.now(), wall_origin + std::chrono::duration_cast<milliseconds>(since)};
}

void sidecar_model::tick() {
    scheduler_.tick(reading());
    dispatch();
    clock_.after(tick_interval, [this] { tick(); });
}

void sidecar_model::read_load() {
    if (endpoint_.is_down()) {
        scheduler_.on_load_failure(true, reading());
    } else {
        sidecar::load_report report;
        report.answering = report.instance = endpoint_.instance();
        report.cold = endpoint_.is_cold();
        report.running = endpoint_.running();
        scheduler_.on_load_report(report, reading());
    }
    dispatch();
    clock_.after(load_interval, [this] { read_load(); });
}

void sidecar_model::dispatch() {
    while (const auto id = scheduler_.next(reading())) {
        start(*id);
    }
    for (const auto& id : scheduler_.take_settled()) {
        const auto found = waiting_.find(id);
        const auto outcome = scheduler_.outcome_of(id);
        if (found != waiting_.end() && outcome) {
            const auto done = std::move(found->second);
            waiting_.erase(found);
            done(*outcome);
        }
        scheduler_.acknowledge(id);
    }
}

void sidecar_model::start(const work_id& id) {
    calls_[id] = endpoint_.run([this, id](run_end how, duration took) { on_end(id, how, took); });
}

void sidecar_model::on_end(const work_id& id, run_end how, duration took) {
    if (calls_.erase(id) == 0) {
        return;
    }
    auto ended = translate(how, took);
    scheduler_.finish(id, ended.how, std::move(ended.what), reading());
    dispatch();
}

} // namespace boragefront::bench
