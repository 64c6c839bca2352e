/// \file
/// Implementation of the traffic thread: the loops and the calls to the endpoint.
#include "traffic.hpp"

#include "base/logging.hpp"
#include "membership/subset.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::sidecar {
namespace {

namespace asio = boost::asio;

constexpr milliseconds tick_interval{20};
constexpr milliseconds load_interval{50};
constexpr milliseconds load_timeout{500};

std::string_view name_of(call_end how) {
    switch (how) {
    case call_end::answered:
        return "answered";
    case call_end::failed:
        return "failed";
    case call_end::overloaded:
        return "overloaded";
    case call_end::not_connected:
        return "not_connected";
    case call_end::lost:
        return "lost";
    case call_end::timed_out:
        return "timed_out";
    case call_end::cancelled:
        return "cancelled";
    case call_end::malformed:
        break;
    }
    return "malformed";
}

incarnation new_incarnation() {
    auto random = make_random_source();
    return make_incarnation(random);
}

http::awaitable<void> pause_for(duration time) {
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer{executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

traffic::traffic(asio::any_io_executor executor, const settings::daemon_settings& settings,
                 metrics_registry& metrics)
    : executor_{std::move(executor)}, id_{settings.id}, data_centre_{settings.data_centre},
      pool_{std::get<settings::sidecar_settings>(settings.role).pool}, metrics_{metrics},
      life_{new_incarnation()}, client_{http::client::make(executor_)},
      endpoint_{*client_, std::get<settings::sidecar_settings>(settings.role).endpoint_address},
      scheduler_{scheduler_policy{}, life_, now()}, homes_{home_policy{}, id_, pool_} {}

void traffic::start(control::control_plane& control) {
    control_ = &control;
    refresh_knowledge();
    publish_state();
    asio::co_spawn(executor_, tick_loop(), asio::detached);
    asio::co_spawn(executor_, load_loop(), asio::detached);
}

void traffic::begin_drain() {
    draining_ = true;
    refresh_knowledge();
    dispatch_and_wake();
    publish_state();
}

bool traffic::is_idle() const {
    return scheduler_.running() == 0 && scheduler_.queued() == 0;
}

void traffic::stop() {
    stopped_ = true;
    for (const auto& [id, live] : live_) {
        live->cancel.cancel();
    }
}

clock_reading traffic::now() const {
    const auto wall = std::chrono::floor<milliseconds>(std::chrono::system_clock::now());
    return {steady_clock::now(), wall};
}

http::awaitable<void> traffic::tick_loop() {
    while (!stopped_) {
        co_await pause_for(tick_interval);
        refresh_knowledge();
        scheduler_.tick(now());
        dispatch_and_wake();
        publish_state();
    }
}

http::awaitable<void> traffic::load_loop() {
    while (!stopped_) {
        auto report = co_await endpoint_.load(steady_clock::now() + load_timeout);
        if (report) {
            scheduler_.on_load_report(report.value(), now());
        } else {
            const bool refused = report.error().kind == error_kind::connect_failed;
            scheduler_.on_load_failure(refused, now());
        }
        dispatch_and_wake();
        co_await pause_for(load_interval);
    }
}

http::awaitable<void> traffic::run_work(shared_work live) {
    endpoint_order order;
    order.id = live->id();
    order.stage = pool_;
    order.input = live->message.input;
    order.lane = live->message.offered.lane;
    order.stream = live->message.stream;
    order.idempotent = live->message.offered.idempotent;
    order.deadline = live->message.offered.record.expires_at;
    const line_receiver receive = [live](std::string line) {
        live->lines.push_back(std::move(line));
        live->changed.cancel();
    };
    const auto started = steady_clock::now();
    auto ended = co_await endpoint_.run(order, live->cancel, receive);
    const auto took = steady_clock::now() - started;
    if (auto* whole = std::get_if<ledger::answer>(&ended.what)) {
        whole->service_time = std::chrono::duration_cast<microseconds>(took);
    }
    count_end(ended, took);
    scheduler_.note_endpoint(ended.instance, steady_clock::now());
    scheduler_.finish(live->id(), ended.how, std::move(ended.what), now());
    dispatch_and_wake();
}

void traffic::count_end(const endpoint_result& ended, duration took) {
    const auto label = "end=\"" + std::string{name_of(ended.how)} + '"';
    metrics_.get_counter("sidecar_calls_total", label).add();
    if (ended.how == call_end::answered) {
        metrics_.get_latency("sidecar_service_time").record(took);
    }
}

// After every command to the scheduler: starts the calls it hands out and wakes those whose work
// has ended.
void traffic::dispatch_and_wake() {
    while (const auto id = scheduler_.next(now())) {
        asio::co_spawn(executor_, run_work(live_.at(*id)), asio::detached);
    }
    for (const auto& id : scheduler_.take_settled()) {
        const auto found = live_.find(id);
        if (found != live_.end()) {
            found->second->settled = true;
            found->second->changed.cancel();
            live_.erase(found);
        }
    }
}

void traffic::peer_left(const shared_work& live) {
    --live->waiters;
    if (live->waiters > 0 || live->settled) {
        return;
    }
    if (scheduler_.abandon(live->id(), now())) {
        live->cancel.cancel();
    }
    dispatch_and_wake();
}

void traffic::refresh_knowledge() {
    const auto instances = control_->instances().load();
    const auto configuration = control_->configuration().load();
    if (instances != listed_ || configuration != obeyed_) {
        listed_ = instances;
        if (obeyed_ != nullptr && configuration->highest != obeyed_->highest) {
            homes_.note_gap(now().wall);
        }
        if (!instances->instances.empty()) {
            homes_.note_pool(*instances);
            homes_.note_list(membership::sidecars_in_service(*instances, *configuration),
                             now().wall);
        }
    }
    if (configuration != obeyed_) {
        obeyed_ = configuration;
        const auto* pool = configuration->find_pool(pool_);
        const auto* profile =
            pool == nullptr ? nullptr : configuration->find_profile(pool->profile);
        if (profile != nullptr) {
            scheduler_.set_policy(profile->limit, profile->cold_start);
        }
    }
    scheduler_.set_phase(wanted_phase(*configuration), now());
}

bool traffic::is_listed_as_leaving() const {
    const auto& listed = listed_->instances;
    return std::any_of(listed.begin(), listed.end(), [&](const membership::instance& each) {
        return each.id == id_ && each.state == membership::instance_state::leaving;
    });
}

service_phase traffic::wanted_phase(const config::snapshot& configuration) const {
    if (draining_ || is_listed_as_leaving()) {
        return service_phase::draining;
    }
    if (!configuration.is_in(data_centre_, id_)) {
        return service_phase::out;
    }
    // Without an instance list it knows no other sidecar, and so could vouch for no key.
    const bool known = control_->ready() && configuration.find_pool(pool_) != nullptr &&
                       !listed_->instances.empty();
    return known ? service_phase::serving : service_phase::starting;
}

void traffic::publish_state() {
    auto shown = scheduler_.state(steady_clock::now());
    metrics_.get_gauge("sidecar_concurrency_limit").set(shown.limit);
    metrics_.get_gauge("sidecar_running").set(static_cast<double>(shown.running));
    metrics_.get_gauge("sidecar_queued").set(static_cast<double>(scheduler_.queued()));
    for (const auto& [cause, count] : shown.fall_backs) {
        metrics_.get_gauge("sidecar_fall_backs", "cause=\"" + cause + '"')
            .set(static_cast<double>(count));
    }
    const auto before = published_.load();
    if (before->scheduler.phase != shown.phase) {
        log_change("sidecar", "phase", {{"phase", std::string{to_string(shown.phase)}}});
    }
    if (shown.limit < before->scheduler.limit) {
        log_change("sidecar", "limit_reduced",
                   {{"limit", std::to_string(shown.limit)}, {"cause", shown.cold_cause}});
    }
    if (shown.limit == shown.full_limit && before->scheduler.limit < shown.limit) {
        log_change("sidecar", "limit_full", {{"limit", std::to_string(shown.limit)}});
    }
    published_.publish({std::move(shown), steady_clock::now()});
}

// Whoever is behind catches up before it decides.
http::awaitable<bool> traffic::catch_up(revision wanted) {
    constexpr milliseconds longest{500};
    constexpr milliseconds step{10};
    const auto until = steady_clock::now() + longest;
    while (control_->configuration().load()->highest < wanted) {
        if (steady_clock::now() >= until) {
            co_return false;
        }
        control_->note_revision(wanted);
        co_await pause_for(step);
    }
    refresh_knowledge();
    co_return true;
}

} // namespace boragefront::sidecar
