/// \file
#include "decision_state.hpp"

#include <algorithm>

namespace boragefront::entry {
namespace {

constexpr double budget_reserve = 10.0;
constexpr double fastest_quantile = 0.05;
constexpr double usual_quantile = 0.5;
constexpr double high_quantile = 0.95;

// Null if there are too few samples.
boost::json::value milliseconds_of(std::optional<duration> latency) {
    if (!latency) {
        return nullptr;
    }
    return std::chrono::duration<double, std::milli>{*latency}.count();
}

} // namespace

result<void> decision_state::admit(const std::string& workspace,
                                   const execution::workspace_limits& limits, time_point now) {
    const std::scoped_lock lock{mutex_};
    return workspaces_[workspace].admit(limits, now);
}

void decision_state::release(const std::string& workspace) {
    const std::scoped_lock lock{mutex_};
    workspaces_[workspace].release();
}

std::optional<routing::endpoint_view>
decision_state::begin_attempt(std::vector<routing::endpoint_view>& views,
                              const routing::choice_request& request, random_source& random,
                              time_point now) {
    const std::scoped_lock lock{mutex_};
    for (auto& view : views) {
        apply_local_state_locked(view, now);
    }
    const auto* chosen = routing::choose(views, request, policy_, random);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    ++in_flight_[chosen->id];
    endpoints_by_address_[chosen->data_address] = chosen->id;
    return *chosen;
}

// Adds this process's in-flight count, and the load from the latest answer if that is newer than
// the latest heartbeat.
void decision_state::apply_local_load(routing::endpoint_view& view) const {
    const auto own = in_flight_.find(view.id);
    view.own_in_flight = own == in_flight_.end() ? 0 : own->second;
    view.own_in_flight_at_report = view.own_in_flight;
    const auto received = loads_.find(view.data_address);
    if (received != loads_.end() && received->second.received_at > view.heard_at) {
        const auto& report = received->second.report;
        view.limit = report.limit;
        view.reported_in_flight = report.in_flight;
        view.reported_queued = report.queued;
        view.service_time = report.service_time;
        view.own_in_flight_at_report = received->second.own_in_flight;
    }
}

void decision_state::begin_attempt_at(const std::string& endpoint) {
    const std::scoped_lock lock{mutex_};
    ++in_flight_[endpoint];
}

void decision_state::end_attempt(const std::string& endpoint) {
    const std::scoped_lock lock{mutex_};
    const auto found = in_flight_.find(endpoint);
    if (found != in_flight_.end() && --found->second == 0) {
        in_flight_.erase(found);
    }
}

void decision_state::record_load(const std::string& address, routing::load_report report,
                                 time_point now) {
    const std::scoped_lock lock{mutex_};
    const auto endpoint = endpoints_by_address_.find(address);
    if (endpoint == endpoints_by_address_.end()) {
        return;
    }
    const auto own = in_flight_.find(endpoint->second);
    // The answered attempt is still counted here, but no longer at the sidecar.
    const unsigned others = own == in_flight_.end() ? 0 : own->second - 1;
    loads_[address] = {report, now, others};
}

void decision_state::record_success(const std::string& endpoint) {
    const std::scoped_lock lock{mutex_};
    failure_detector_.on_success(endpoint);
}

void decision_state::record_failure(const std::string& endpoint, time_point now) {
    const std::scoped_lock lock{mutex_};
    failure_detector_.on_failure(endpoint, now);
}

void decision_state::record_timeout(const std::string& endpoint, time_point now) {
    const std::scoped_lock lock{mutex_};
    failure_detector_.on_timeout(endpoint, now);
}

void decision_state::record_refusal(const std::string& endpoint, time_point now) {
    const std::scoped_lock lock{mutex_};
    failure_detector_.on_refusal(endpoint, now);
}

void decision_state::apply_local_state(routing::endpoint_view& view, time_point now) const {
    const std::scoped_lock lock{mutex_};
    apply_local_state_locked(view, now);
}

void decision_state::apply_local_state_locked(routing::endpoint_view& view, time_point now) const {
    apply_local_load(view);
    if (view.excluded != routing::exclusion::none) {
        return;
    }
    if (failure_detector_.is_refusing(view.id, now)) {
        view.excluded = routing::exclusion::not_serving;
    } else if (failure_detector_.is_suspected(view.id, now)) {
        view.excluded = routing::exclusion::suspected;
    }
}

execution::idempotent_step decision_state::step(execution::idempotent_stage& machine,
                                                const stage_key& key,
                                                const config::profile& profile, time_point now) {
    const std::scoped_lock lock{mutex_};
    return machine.next(now, stage_of(key, &profile).budgets);
}

void decision_state::record_stage_completion(const stage_key& key, duration latency,
                                             time_point now) {
    const std::scoped_lock lock{mutex_};
    auto& stage = stage_of(key, nullptr);
    stage.budgets.retries.deposit();
    stage.budgets.hedges.deposit();
    stage.latency.record(latency, now);
}

void decision_state::record_latency(const stage_key& key, duration latency, time_point now) {
    const std::scoped_lock lock{mutex_};
    stage_of(key, nullptr).latency.record(latency, now);
}

execution::stage_estimate decision_state::estimate(const stage_key& key, time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto* stage = find_stage(key);
    if (stage == nullptr) {
        return {};
    }
    const auto at = [&](double quantile) {
        return stage->latency.quantile(quantile, now).value_or(duration{0});
    };
    return {at(fastest_quantile), at(usual_quantile), at(high_quantile)};
}

std::optional<duration> decision_state::quantile(const stage_key& key, double quantile,
                                                 time_point now) const {
    const std::scoped_lock lock{mutex_};
    const auto* stage = find_stage(key);
    return stage == nullptr ? std::nullopt : stage->latency.quantile(quantile, now);
}

boost::json::object decision_state::dump(time_point now) const {
    const std::scoped_lock lock{mutex_};
    boost::json::array stages;
    for (const auto& [key, stage] : stages_) {
        stages.push_back(boost::json::object{
            {"service", key.service},
            {"stage", key.stage},
            {"retry_tokens", stage.budgets.retries.available()},
            {"hedge_tokens", stage.budgets.hedges.available()},
            {"usual_ms", milliseconds_of(stage.latency.quantile(usual_quantile, now))},
            {"high_ms", milliseconds_of(stage.latency.quantile(high_quantile, now))},
        });
    }
    boost::json::array workspaces;
    for (const auto& [name, limiter] : workspaces_) {
        if (limiter.in_flight() > 0) {
            workspaces.push_back(
                boost::json::object{{"workspace", name}, {"in_flight", limiter.in_flight()}});
        }
    }
    return {{"stages", std::move(stages)}, {"workspaces", std::move(workspaces)}};
}

decision_state::stage_state& decision_state::stage_of(const stage_key& key,
                                                      const config::profile* profile) {
    const config::profile defaults;
    const auto& effective = profile != nullptr ? *profile : defaults;
    const auto found = stages_.find(key);
    if (found == stages_.end()) {
        const execution::stage_budgets budgets{
            execution::attempt_budget{effective.retries.budget_ratio, budget_reserve},
            execution::attempt_budget{effective.hedging.budget_ratio, budget_reserve}};
        return stages_.emplace(key, stage_state{budgets, {}}).first->second;
    }
    if (profile != nullptr) {
        found->second.budgets.retries.set_ratio(profile->retries.budget_ratio);
        found->second.budgets.hedges.set_ratio(profile->hedging.budget_ratio);
    }
    return found->second;
}

const decision_state::stage_state* decision_state::find_stage(const stage_key& key) const {
    const auto found = stages_.find(key);
    return found == stages_.end() ? nullptr : &found->second;
}

} // namespace boragefront::entry
