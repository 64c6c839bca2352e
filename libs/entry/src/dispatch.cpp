/// \file
#include "dispatch.hpp"

#include "membership/subset.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::entry {
namespace {

namespace asio = boost::asio;

constexpr milliseconds endpoint_poll_interval{20};
constexpr milliseconds max_endpoint_wait{3'000};
constexpr unsigned http_ok = 200;

// Whether an excluded endpoint may become eligible again without an operator's action.
bool is_temporarily_excluded(const routing::endpoint_view& endpoint) {
    return endpoint.excluded == routing::exclusion::stale ||
           endpoint.excluded == routing::exclusion::not_serving;
}

bool may_become_available(const entry_core& core, const std::string& pool,
                          const std::vector<routing::endpoint_view>& views) {
    if (!views.empty()) {
        return std::any_of(views.begin(), views.end(), is_temporarily_excluded);
    }
    const auto list = core.control.instances().load();
    return std::any_of(list->instances.begin(), list->instances.end(),
                       [&](const auto& one) { return one.pool == pool; });
}

error no_endpoint(const std::vector<routing::endpoint_view>& views) {
    std::string detail{"no eligible endpoint"};
    for (const auto& view : views) {
        detail += ", " + view.id + " is " + std::string{routing::to_string(view.excluded)};
    }
    return make_error(error_kind::no_endpoint, std::move(detail));
}

std::string_view name_of(cost_use use) {
    switch (use) {
    case cost_use::useful:
        return "useful";
    case cost_use::hedged:
        return "hedged";
    case cost_use::retried:
        return "retried";
    case cost_use::late:
        return "late";
    case cost_use::abandoned:
        break;
    }
    return "abandoned";
}

// The sidecars in service of the plan's pool, by descending rendezvous rank for its key.
std::vector<membership::instance> homes_of(const entry_core& core, const stage_plan& plan) {
    const auto serving = membership::sidecars_in_service(*core.control.instances().load(),
                                                         *core.control.configuration().load());
    return membership::ranked_by_rendezvous(plan.work.key,
                                            membership::sidecars_of_pool(serving, plan.pool));
}

// Reserves half of the remaining time for the work.
time_point endpoint_wait_deadline(const stage_plan& plan) {
    const auto now = steady_clock::now();
    const duration remaining = std::max(duration{0}, plan.times.deadline - now);
    return now + std::min<duration>(max_endpoint_wait, remaining / 2);
}

// Counts an attempt in flight at an endpoint that was not chosen by load.
chosen_endpoint claim_endpoint(entry_core& core, routing::endpoint_view view) {
    core.decisions.begin_attempt_at(view.id);
    auto slot = in_flight_slot{core.decisions, view.id};
    return {std::move(view), std::move(slot)};
}

} // namespace

awaitable<void> sleep_until(asio::any_io_executor executor, time_point until) {
    asio::steady_timer timer{executor, until};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

awaitable<result<chosen_endpoint>> choose_endpoint(traffic_context& context, const stage_plan& plan,
                                                   const endpoint_ids& tried) {
    auto& core = context.core;
    routing::choice_request request;
    request.data_centre = core.data_centre;
    request.prefix_affinity = plan.profile.prefix_affinity;
    request.spilling = plan.profile.spilling;
    if (request.prefix_affinity.enabled) {
        request.prefix =
            routing::prompt_prefix(plan.work.body, request.prefix_affinity.prefix_bytes);
    }
    const auto wait_deadline = endpoint_wait_deadline(plan);
    for (;;) {
        const auto now = steady_clock::now();
        auto views = endpoints_of(core, plan.pool, now);
        for (auto& view : views) {
            view.tried = tried.contains(view.id);
        }
        const auto chosen = core.decisions.begin_attempt(views, request, context.random, now);
        if (chosen) {
            co_return chosen_endpoint{*chosen, in_flight_slot{core.decisions, chosen->id}};
        }
        if (now >= wait_deadline || !may_become_available(core, plan.pool, views)) {
            co_return no_endpoint(views);
        }
        co_await sleep_until(context.executor, now + endpoint_poll_interval);
    }
}

awaitable<result<chosen_endpoint>> home_endpoint(traffic_context& context, const stage_plan& plan,
                                                 incarnation ended,
                                                 const endpoint_ids& leaving_homes) {
    auto& core = context.core;
    const auto wait_deadline = endpoint_wait_deadline(plan);
    for (;;) {
        const auto now = steady_clock::now();
        const auto homes = homes_of(core, plan);
        if (homes.empty()) {
            co_return make_error(error_kind::no_endpoint, "no sidecar of the pool is in service");
        }
        std::optional<routing::endpoint_view> view;
        for (const auto& home : homes) {
            view = endpoint_named(core, home.id, now);
            if (view && view->life == ended) {
                view->excluded = routing::exclusion::stale;
            }
            const bool is_skipped = leaving_homes.contains(home.id) ||
                                    (view && view->excluded == routing::exclusion::not_serving);
            if (!is_skipped) {
                break;
            }
        }
        if (view && view->excluded == routing::exclusion::none &&
            !leaving_homes.contains(view->id)) {
            co_return claim_endpoint(core, std::move(*view));
        }
        if (now >= wait_deadline || (view && !is_temporarily_excluded(*view))) {
            co_return make_error(error_kind::no_endpoint,
                                 "the home of the idempotency key takes no work");
        }
        co_await sleep_until(context.executor, now + endpoint_poll_interval);
    }
}

std::optional<chosen_endpoint> reachable_endpoint(traffic_context& context, const std::string& id) {
    auto view = endpoint_named(context.core, id, steady_clock::now());
    if (!view || view->excluded == routing::exclusion::stale) {
        return std::nullopt;
    }
    return claim_endpoint(context.core, std::move(*view));
}

work_target target_at(const routing::endpoint_view& endpoint, const stage_plan& plan) {
    return {endpoint.data_address, endpoint.life,
            routing::expiry_on_remote_clock(endpoint, plan.times.deadline)};
}

void record_reported_load(traffic_context& context, const std::string& address,
                          const http::response& head) {
    if (const auto load = load_reported_by(head)) {
        context.core.decisions.record_load(address, *load, steady_clock::now());
    }
}

awaitable<exchange_outcome> exchange(traffic_context& context, std::string address, work_id id,
                                     http::request message, http::call_options options) {
    auto answer = co_await context.client->call(address, std::move(message), options);
    if (!answer) {
        co_return work_failure{answer.error()};
    }
    auto& head = answer.value();
    context.core.control.note_revision(revision_of(head));
    record_reported_load(context, address, head);
    if (!is_answer_for(head, id)) {
        context.client->close_idle_connections(address);
    }
    if (head.status != http_ok || !is_answer_for(head, id)) {
        co_return read_failure(head, id);
    }
    const auto spent = service_time_of(head);
    if (const auto valid = check_output(head.body); !valid) {
        co_return work_failure{valid.error(), execution::failure_origin::sidecar, spent};
    }
    co_return work_answer{std::move(head.body), spent};
}

void record_health_evidence(traffic_context& context, const routing::endpoint_view& endpoint,
                            const work_failure& failed, time_point now) {
    auto& decisions = context.core.decisions;
    switch (failed.failure.kind) {
    case error_kind::shutting_down:
    case error_kind::not_ready:
    case error_kind::wrong_incarnation:
        decisions.record_refusal(endpoint.id, now);
        break;
    case error_kind::stage_failed:
        decisions.record_failure(endpoint.id, now);
        break;
    case error_kind::connect_failed:
    case error_kind::connection_lost:
    case error_kind::incomplete_answer:
        decisions.record_failure(endpoint.id, now);
        context.client->close_idle_connections(endpoint.data_address);
        break;
    case error_kind::deadline_exceeded:
        if (failed.origin == execution::failure_origin::exchange) {
            decisions.record_timeout(endpoint.id, now);
            context.client->close_idle_connections(endpoint.data_address);
        }
        break;
    default:
        break;
    }
}

void count_cost(traffic_context& context, const stage_key& key, cost_use use, duration spent) {
    const auto labels = "service=\"" + key.service + "\",stage=\"" + key.stage + "\",use=\"" +
                        std::string{name_of(use)} + '"';
    const auto amount = std::chrono::duration_cast<microseconds>(spent).count();
    context.core.metrics.get_counter("boragefront_stage_endpoint_us_total", labels)
        .add(static_cast<std::uint64_t>(std::max<std::int64_t>(0, amount)));
}

} // namespace boragefront::entry
