#include "gateway/gateway_node.hpp"

#include "base/exceptions.hpp"
#include "base/logging.hpp"
#include "base/stall_detector.hpp"
#include "control_loop.hpp"
#include "http/server.hpp"
#include "request_handler.hpp"
#include "traffic_dump.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr milliseconds drain_poll_interval{20};
constexpr milliseconds query_timeout{300};
constexpr milliseconds heartbeat_interval{250}; // of the event loops
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

std::string host_of(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

struct event_loop {
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::thread thread;
};

class gateway_node_impl : public gateway_node {
public:
    gateway_node_impl(const settings::daemon_settings& settings, metrics_registry& metrics)
        : settings_{settings}, role_{std::get<settings::gateway_settings>(settings.role)},
          metrics_{metrics}, state_{role_, settings.id, settings.data_centre, metrics},
          memory_{role_.message_bytes}, endpoints_{http::client::make(
                                            traffic_loop_.io.get_executor(), &memory_)},
          peers_{wire::client::make(traffic_loop_.io.get_executor(), work_bytes())},
          freer_{traffic_loop_.io.get_executor(), state_, *endpoints_} {}

    ~gateway_node_impl() override { stop_threads(); }

    result<void> start() {
        set_decision_rate(role_.log_lines_per_second);
        const auto executor = traffic_loop_.io.get_executor();
        BOOST_OUTCOME_TRY(work_server_, wire::server::listen(
                                            executor, role_.work_address,
                                            [this](const wire::request& message) {
                                                return handle_stage_request(message);
                                            },
                                            work_bytes()));
        stages_.emplace(executor, state_, *endpoints_, *peers_, freer_, work_server_->address());
        request_context_.emplace(request_context{executor, state_, *endpoints_, *stages_, memory_});
        BOOST_OUTCOME_TRY(server_, http::server::listen(
                                       {executor}, settings_.data_address, {},
                                       [this](const http::request& message, http::responder& out) {
                                           return handle_request(message, out);
                                       },
                                       &memory_));
        BOOST_OUTCOME_TRY(
            ready_server_,
            http::server::listen({executor}, role_.ready_address, {},
                                 [this](const http::request& message, http::responder& out) {
                                     return handle_readiness(message, out);
                                 }));
        if (!role_.metrics_address.empty()) {
            BOOST_OUTCOME_TRY(
                metrics_server_,
                http::server::listen({executor}, role_.metrics_address, {},
                                     [this](const http::request& /*message*/,
                                            http::responder& out) { return handle_metrics(out); }));
        }
        BOOST_OUTCOME_TRY(control_, control_loop::make(settings_, work_server_->address(),
                                                       make_callbacks(), metrics_));
        state_.on_suspects_changed([this](std::vector<quarantine::part_report> reports) {
            control_->set_suspects(std::move(reports));
        });
        send_traffic_heartbeat();
        traffic_loop_.thread = std::thread{[this] { run_event_loop(traffic_loop_.io, "traffic"); }};
        control_thread_ = std::thread{[this] { control_->run(); }};
        log_change("gateway", "started",
                   {{"data_address", data_address()},
                    {"control_address", control_address()},
                    {"processors", std::to_string(role_.processors)},
                    {"link_mbps", std::to_string(role_.link_mbps)}});
        return success();
    }

    void reload(const settings::daemon_settings& settings) override {
        const auto* const role = std::get_if<settings::gateway_settings>(&settings.role);
        if (role == nullptr) {
            log_warning("gateway", "settings_not_taken",
                        {{"reason", "the settings are for another role"}});
            return;
        }
        set_decision_rate(role->log_lines_per_second);
        grace_ = role->grace;
        memory_.set_limit(role->message_bytes);
        asio::post(traffic_loop_.io, [this, next = *role] { state_.set_role(next); });
        control_->reload(settings);
    }

    milliseconds grace() const override { return grace_; }

    void request_shutdown() override {
        const std::scoped_lock lock{mutex_};
        shutdown_requested_ = true;
        shutdown_changed_.notify_all();
    }

    void wait() override {
        {
            std::unique_lock lock{mutex_};
            shutdown_changed_.wait(lock, [this] { return shutdown_requested_; });
        }
        const auto started_at = steady_clock::now();
        const auto plan = drain_plan::make(started_at, grace());
        log_change("gateway", "draining", {{"open_requests", std::to_string(open_requests())}});
        server_->announce_close();
        asio::post(traffic_loop_.io, [this, plan] { state_.draining = plan; });
        control_->begin_draining();
        std::this_thread::sleep_until(plan.withdrawn_at());
        while (!is_drained() && steady_clock::now() < plan.exit_at()) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        // Requests that have arrived by now still get a response; after that only responses in
        // progress remain.
        server_->stop_accepting();
        const auto backlog_accepted = [this] {
            return query_traffic_thread<bool>([] { return true; }).value_or(false);
        };
        while (!backlog_accepted() && steady_clock::now() < plan.answered_by()) {
        }
        await_connections_closed(plan.exit_at());
        const auto ended_early = open_requests();
        asio::post(traffic_loop_.io, [this] { state_.open_requests().end_all(); });
        await_connections_closed(plan.answered_by());
        log_change(
            "gateway", "drained",
            {{"ended_early", std::to_string(ended_early)},
             {"cut_requests", std::to_string(open_requests())},
             {"took_ms",
              std::to_string(
                  std::chrono::floor<milliseconds>(steady_clock::now() - started_at).count())}});
        stop_threads();
    }

    std::string data_address() const override {
        return host_of(settings_.data_address) + ':' + std::to_string(server_->port());
    }
    std::string control_address() const override { return control_->control_address(); }
    std::string ready_address() const override {
        return host_of(role_.ready_address) + ':' + std::to_string(ready_server_->port());
    }

private:
    wire::byte_counters work_bytes() {
        return {metrics_.get_counter("boragefront_work_sent_bytes_total"),
                metrics_.get_counter("boragefront_work_received_bytes_total")};
    }

    control_callbacks make_callbacks() {
        control_callbacks callbacks;
        callbacks.publish = [this](std::shared_ptr<const indexed_snapshot> next) {
            // At once: a backlogged traffic thread must not close connections by outdated limits.
            set_limits(next->published.config->limits);
            latest_snapshot_ = std::move(next);
            asio::post(traffic_loop_.io, [this] { apply_latest_snapshot(); });
        };
        callbacks.set_fleet = [this](fleet_view view) {
            asio::post(traffic_loop_.io, [this, view = std::move(view)]() mutable {
                state_.set_fleet(std::move(view));
            });
        };
        callbacks.merge_suspects = [this](std::vector<quarantine::part_report> reports) {
            asio::post(traffic_loop_.io, [this, reports = std::move(reports)] {
                state_.merge_suspects(reports, steady_clock::now());
            });
        };
        callbacks.merge_observations = [this](std::string from, wire::fleet_observations received) {
            asio::post(traffic_loop_.io,
                       [this, from = std::move(from), received = std::move(received)] {
                           state_.merge_observations(from, received, steady_clock::now());
                       });
        };
        callbacks.record_past_versions = [this](std::vector<catalog::endpoint> seen) {
            asio::post(traffic_loop_.io, [this, seen = std::move(seen)] {
                state_.record_past_versions(seen, steady_clock::now());
            });
        };
        callbacks.dump_traffic = [this] { return dump(); };
        callbacks.open_requests = [this] { return open_requests(); };
        callbacks.on_heartbeat = [this] {
            const auto now = steady_clock::now();
            control_stalls_.record_heartbeat(now);
            report_stalls(traffic_stalls_, "traffic", now);
        };
        return callbacks;
    }

    void set_limits(const catalog::caller_limits& limits) {
        http::server_limits applied;
        applied.header_bytes = limits.header_bytes;
        applied.body_bytes = limits.body_bytes;
        applied.header_timeout = limits.header_timeout;
        applied.idle_timeout = limits.idle_timeout;
        server_->set_limits(applied);
    }

    // Traffic thread. Also called for each request, so that a backlogged thread does not decide by
    // an outdated snapshot.
    void apply_latest_snapshot() {
        const auto next = latest_snapshot_.load();
        if (next == state_.current()) {
            return;
        }
        const bool first = state_.current() == nullptr;
        const auto now = steady_clock::now();
        state_.publish(next, now);
        if (first) {
            log_change("gateway", "ready",
                       {{"revision", std::to_string(next->published.config_position.at)},
                        {"endpoints", std::to_string(next->published.endpoints.size())}});
        }
    }

    // Traffic thread. Records its heartbeat, checks that of the control thread, and hands it what
    // this entry observes of others.
    void send_traffic_heartbeat() {
        const auto now = steady_clock::now();
        traffic_stalls_.record_heartbeat(now);
        report_stalls(control_stalls_, "control", now);
        auto observed = state_.observations(now);
        auto with_history = state_.with_history(observed, now);
        control_->set_observations(std::move(observed), std::move(with_history));
        heartbeat_timer_.expires_at(now + heartbeat_interval);
        heartbeat_timer_.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                send_traffic_heartbeat();
            }
        });
    }

    // Called on the thread of the other event loop.
    void report_stalls(stall_detector& monitored, std::string_view loop, time_point now) {
        const auto change = monitored.check(now);
        if (change == loop_change::none) {
            return;
        }
        const bool stalled = change == loop_change::stalled;
        const auto stalled_for = std::chrono::floor<milliseconds>(monitored.stalled_for());
        log_warning("gateway", stalled ? "event_loop_stalled" : "event_loop_resumed",
                    {{"loop", std::string{loop}}, {"for_ms", std::to_string(stalled_for.count())}});
        if (stalled) {
            metrics_
                .get_counter("boragefront_event_loop_stalls_total",
                             "loop=\"" + std::string{loop} + '"')
                .add();
        }
    }

    http::awaitable<void> handle_request(const http::request& request, http::responder& responder) {
        apply_latest_snapshot();
        request_handler handler{*request_context_, request, responder};
        co_await handler.run();
    }

    http::awaitable<void> handle_readiness(const http::request& request,
                                           http::responder& responder) {
        const bool responsive = control_->is_responsive(steady_clock::now());
        if (responsive != control_responsive_) {
            control_responsive_ = responsive;
            log_change("gateway", responsive ? "control_thread_regained" : "control_thread_lost",
                       {});
        }
        // An entry whose control thread hangs must not go on serving with stale state.
        const bool ready = platform::is_readiness_request(request) && state_.current() != nullptr &&
                           !state_.draining && responsive;
        http::response response;
        response.status = ready ? status_ok : status_unavailable;
        (void)co_await responder.send(std::move(response));
    }

    http::awaitable<void> handle_metrics(http::responder& responder) {
        metrics_.get_gauge("boragefront_log_lines_left_out")
            .set(static_cast<double>(dropped_log_lines()));
        metrics_.get_gauge("boragefront_open_requests").set(static_cast<double>(open_requests()));
        metrics_.get_gauge("boragefront_message_memory_bytes")
            .set(static_cast<double>(memory_.used()));
        export_statistics(server_->statistics());
        http::response response;
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = metrics_.exposition();
        (void)co_await responder.send(std::move(response));
    }

    void export_statistics(const http::server_statistics& from) {
        const auto set = [this](std::string_view name, std::string_view labels,
                                std::uint64_t value) {
            metrics_.get_gauge(name, labels).set(static_cast<double>(value));
        };
        constexpr std::string_view incomplete = "boragefront_incomplete_responses";
        set("boragefront_connections_closed_idle", {}, from.closed_idle);
        set("boragefront_requests_served_at_idle_limit", {}, from.served_at_limit);
        set("boragefront_requests_refused_late", {}, from.refused_late);
        set("boragefront_requests_refused_malformed", {}, from.refused_malformed);
        set("boragefront_requests_refused_for_memory", {}, from.refused_for_memory);
        set(incomplete, R"(reason="peer_closed")", from.peer_closed);
        set(incomplete, R"(reason="write_failed")", from.write_failed);
        set(incomplete, R"(reason="handler_unfinished")", from.handler_unfinished);
        set(incomplete, R"(reason="handler_threw")", from.handler_threw);
    }

    // Traffic thread. Handles stage work of other entries.
    wire::answer handle_stage_request(const wire::request& message) {
        if (const auto* const make = std::get_if<wire::make_pieces_request>(&message)) {
            return stages_->handle(*make);
        }
        if (const auto* const done = std::get_if<wire::pieces_done_request>(&message)) {
            stages_->handle(*done);
            return wire::pieces_done_answer{};
        }
        if (const auto* const cancel = std::get_if<wire::cancel_pieces_request>(&message)) {
            stages_->handle(*cancel);
            return wire::cancel_pieces_answer{};
        }
        if (const auto* const release = std::get_if<wire::release_results_request>(&message)) {
            stages_->handle(*release);
            return wire::release_results_answer{};
        }
        return wire::refusal{"request type not supported at a gateway's work address"};
    }

    std::size_t open_requests() const { return server_->open_requests(); }

    void await_connections_closed(time_point until) const {
        while (server_->open_connections() > 0 && steady_clock::now() < until) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
    }

    bool is_drained() {
        return open_requests() == 0 &&
               query_traffic_thread<bool>([this] { return stages_->is_idle(); }).value_or(false);
    }

    // Runs a query on the traffic thread. Returns nothing if that fails or takes longer than
    // `query_timeout`.
    template <class T, class Query>
    std::optional<T> query_traffic_thread(Query query) {
        auto promise = std::make_shared<std::promise<std::optional<T>>>();
        auto future = promise->get_future();
        asio::post(traffic_loop_.io, [promise, query] {
            std::optional<T> answer;
            try {
                answer = query();
            } catch (...) {
                log_exception("traffic", "query", std::current_exception());
            }
            promise->set_value(std::move(answer));
        });
        if (future.wait_for(query_timeout) != std::future_status::ready) {
            return std::nullopt;
        }
        return future.get();
    }

    std::string dump() {
        const auto dumped = query_traffic_thread<std::string>(
            [this] { return dump_traffic(state_, *stages_, steady_clock::now()); });
        return dumped.value_or("\"the traffic thread did not respond within 300 ms\"");
    }

    void stop_threads() {
        if (control_ != nullptr) {
            control_->stop();
        }
        if (control_thread_.joinable()) {
            control_thread_.join();
        }
        traffic_loop_.io.stop();
        if (traffic_loop_.thread.joinable()) {
            traffic_loop_.thread.join();
        }
    }

    // Destroyed in reverse order: suspended requests, which are owned by the event loop, refer to
    // the members above it, and connections refer to the event loop.
    settings::daemon_settings settings_;
    settings::gateway_settings role_; // of the start
    std::atomic<milliseconds> grace_{role_.grace};
    metrics_registry& metrics_;
    traffic_state state_;
    byte_budget memory_; // of messages in progress
    event_loop traffic_loop_;
    boost::asio::steady_timer heartbeat_timer_{traffic_loop_.io};
    stall_detector traffic_stalls_{stall_detector::make(steady_clock::now())};
    stall_detector control_stalls_{stall_detector::make(steady_clock::now())};
    std::atomic<std::shared_ptr<const indexed_snapshot>> latest_snapshot_; // shared with requests
    std::unique_ptr<http::client> endpoints_;
    std::unique_ptr<wire::client> peers_;
    result_freer freer_;
    std::optional<stage_scheduler> stages_;
    std::optional<request_context> request_context_;
    std::unique_ptr<wire::server> work_server_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::server> ready_server_;
    std::unique_ptr<http::server> metrics_server_;
    std::unique_ptr<control_loop> control_;
    std::thread control_thread_;
    std::mutex mutex_;
    std::condition_variable shutdown_changed_;
    bool shutdown_requested_{false};
    bool control_responsive_{true}; // as last logged by the traffic thread
};

} // namespace

result<std::unique_ptr<gateway_node>> gateway_node::start(const settings::daemon_settings& settings,
                                                          metrics_registry& metrics) {
    if (!std::holds_alternative<settings::gateway_settings>(settings.role)) {
        return make_error(error_kind::bad_request, "found the settings of another role", "role");
    }
    auto node = std::make_unique<gateway_node_impl>(settings, metrics);
    BOOST_OUTCOME_TRY(node->start());
    return std::unique_ptr<gateway_node>{std::move(node)};
}

} // namespace boragefront::gateway
