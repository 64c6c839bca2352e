#include "gateway/gateway_node.hpp"

#include "base/logging.hpp"
#include "control_loop.hpp"
#include "traffic_dump.hpp"
#include "http/server.hpp"
#include "request_handler.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr milliseconds drain_look{20};
constexpr milliseconds dump_at_most{300};
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

class running_gateway : public gateway_node {
public:
    running_gateway(const settings::daemon_settings& settings, metrics_registry& metrics)
        : settings_{settings}, role_{std::get<settings::gateway_settings>(settings.role)},
          metrics_{metrics}, state_{role_, settings.id, settings.data_centre, metrics},
          endpoints_{http::client::make(loop_.io.get_executor())}, peers_{wire::client::make(
                                                                       loop_.io.get_executor(),
                                                                       work_bytes())},
          freer_{loop_.io.get_executor(), state_, *endpoints_} {}

    ~running_gateway() override { stop_threads(); }

    result<void> start() {
        set_decision_rate(role_.log_lines_per_second);
        const auto executor = loop_.io.get_executor();
        BOOST_OUTCOME_TRY(work_server_,
                          wire::server::listen(
                              executor, role_.work_address,
                              [this](const wire::request& message) { return work(message); },
                              work_bytes()));
        stages_.emplace(executor, state_, *endpoints_, *peers_, freer_, work_server_->address());
        parts_.emplace(gateway_parts{executor, state_, *endpoints_, *stages_});
        BOOST_OUTCOME_TRY(server_, http::server::listen(
                                       {executor}, settings_.data_address, {},
                                       [this](const http::request& message, http::responder& out) {
                                           return handle(message, out);
                                       }));
        BOOST_OUTCOME_TRY(ready_server_, http::server::listen({executor}, role_.ready_address, {},
                                                              [this](const http::request& message,
                                                                     http::responder& out) {
                                                                  return tell_ready(message, out);
                                                              }));
        if (!role_.metrics_address.empty()) {
            BOOST_OUTCOME_TRY(
                metrics_server_,
                http::server::listen({executor}, role_.metrics_address, {},
                                     [this](const http::request& /*message*/,
                                            http::responder& out) { return tell_metrics(out); }));
        }
        BOOST_OUTCOME_TRY(
            control_, control_loop::make(settings_, work_server_->address(), outputs(), metrics_));
        loop_.thread = std::thread{[this] { loop_.io.run(); }};
        control_thread_ = std::thread{[this] { control_->run(); }};
        log_change("gateway", "started",
                   {{"data_address", data_address()}, {"control_address", control_address()}});
        return success();
    }

    void reload(const settings::daemon_settings& settings) override {
        const auto* const role = std::get_if<settings::gateway_settings>(&settings.role);
        if (role == nullptr) {
            log_warning("gateway", "settings_not_taken", {{"reason", "of another role"}});
            return;
        }
        set_decision_rate(role->log_lines_per_second);
        asio::post(loop_.io, [this, limits = *role] { state_.set_limits(limits); });
        control_->reload(settings);
    }

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
        const auto begun = steady_clock::now();
        const auto plan = drain_plan::make(begun, role_.grace);
        log_change("gateway", "draining", {{"open_requests", std::to_string(open_requests())}});
        server_->announce_close();
        asio::post(loop_.io, [this, plan] { state_.draining = plan; });
        control_->begin_draining();
        std::this_thread::sleep_until(plan.withdrawn_at());
        while (!drained() && steady_clock::now() < plan.exit_at()) {
            std::this_thread::sleep_for(drain_look);
        }
        // What callers have sent by now is refused, and only the answers are left.
        server_->stop_accepting();
        (void)ask_traffic<bool>([] { return true; }); // waiting connections are taken before it
        do {
            std::this_thread::sleep_for(drain_look);
        } while (open_requests() > 0 && steady_clock::now() < plan.exit_at());
        log_change("gateway", "drained",
                   {{"cut_requests", std::to_string(open_requests())},
                    {"took_ms",
                     std::to_string(
                         std::chrono::floor<milliseconds>(steady_clock::now() - begun).count())}});
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

    control_outputs outputs() {
        control_outputs to_traffic;
        to_traffic.publish = [this](std::shared_ptr<const indexed_snapshot> next) {
            newest_ = std::move(next);
            asio::post(loop_.io, [this] { take_newest(); });
        };
        to_traffic.set_fleet = [this](fleet_view view) {
            asio::post(loop_.io, [this, view = std::move(view)]() mutable {
                state_.set_fleet(std::move(view));
            });
        };
        to_traffic.dump_traffic = [this] { return dump(); };
        to_traffic.open_requests = [this] { return open_requests(); };
        return to_traffic;
    }

    // Traffic thread. Called by each request as well, so that a thread that is behind with its work
    // does not decide by what was published before.
    void take_newest() {
        const auto next = newest_.load();
        if (next == state_.current()) {
            return;
        }
        const bool first = state_.current() == nullptr;
        const auto now = steady_clock::now();
        state_.publish(next, now);
        stages_->refresh(now);
        const auto& limits = next->published.config->limits;
        http::server_limits applied;
        applied.header_bytes = limits.header_bytes;
        applied.body_bytes = limits.body_bytes;
        applied.header_timeout = limits.header_timeout;
        applied.idle_timeout = limits.idle_timeout;
        server_->set_limits(applied);
        if (first) {
            log_change("gateway", "ready",
                       {{"revision", std::to_string(next->published.config_revision)},
                        {"endpoints", std::to_string(next->published.endpoints.size())}});
        }
    }

    http::awaitable<void> handle(const http::request& message, http::responder& out) {
        take_newest();
        request_run run{*parts_, message, out};
        co_await run.run();
    }

    http::awaitable<void> tell_ready(const http::request& message, http::responder& out) {
        const bool responsive = control_->is_responsive(steady_clock::now());
        if (responsive != control_responsive_) {
            control_responsive_ = responsive;
            log_change("gateway", responsive ? "control_thread_regained" : "control_thread_lost",
                       {});
        }
        // An entry that learns nothing new must not go on serving by what was published once.
        const bool ready = platform::asks_readiness(message) && state_.current() != nullptr &&
                           !state_.draining && responsive;
        http::response answer;
        answer.status = ready ? status_ok : status_unavailable;
        (void)co_await out.send(std::move(answer));
    }

    http::awaitable<void> tell_metrics(http::responder& out) {
        metrics_.get_gauge("boragefront_log_lines_left_out")
            .set(static_cast<double>(log_lines_left_out()));
        metrics_.get_gauge("boragefront_open_requests").set(static_cast<double>(open_requests()));
        http::response answer;
        answer.headers.set("Content-Type", "text/plain; version=0.0.4");
        answer.body = metrics_.exposition();
        (void)co_await out.send(std::move(answer));
    }

    // Traffic thread: stage work of other entries.
    wire::answer work(const wire::request& message) {
        if (const auto* const make = std::get_if<wire::make_pieces_request>(&message)) {
            return stages_->take(*make);
        }
        if (const auto* const done = std::get_if<wire::pieces_done_request>(&message)) {
            stages_->take(*done);
            return wire::pieces_done_answer{};
        }
        if (const auto* const cancel = std::get_if<wire::cancel_pieces_request>(&message)) {
            stages_->take(*cancel);
            return wire::cancel_pieces_answer{};
        }
        if (const auto* const release = std::get_if<wire::release_results_request>(&message)) {
            stages_->take(*release);
            return wire::release_results_answer{};
        }
        return wire::refusal{"not a request about stage work"};
    }

    std::size_t open_requests() const { return server_->open_requests(); }

    bool drained() {
        return open_requests() == 0 &&
               ask_traffic<bool>([this] { return stages_->idle(); }).value_or(false);
    }

    // Runs a question on the traffic thread; nothing if that takes too long.
    template <class T, class Question>
    std::optional<T> ask_traffic(Question question) {
        auto answer = std::make_shared<std::promise<T>>();
        auto told = answer->get_future();
        asio::post(loop_.io, [answer, question] { answer->set_value(question()); });
        if (told.wait_for(dump_at_most) != std::future_status::ready) {
            return std::nullopt;
        }
        return told.get();
    }

    std::string dump() {
        const auto dumped = ask_traffic<std::string>(
            [this] { return dump_traffic(state_, *stages_, steady_clock::now()); });
        return dumped.value_or("\"the traffic thread is busy\"");
    }

    void stop_threads() {
        if (control_ != nullptr) {
            control_->stop();
        }
        if (control_thread_.joinable()) {
            control_thread_.join();
        }
        loop_.io.stop();
        if (loop_.thread.joinable()) {
            loop_.thread.join();
        }
    }

    // Destroyed from the last to the first: suspended requests, which the event loop holds, refer
    // to the parts, and connections to the event loop.
    settings::daemon_settings settings_;
    settings::gateway_settings role_;
    metrics_registry& metrics_;
    traffic_state state_;
    event_loop loop_;
    std::atomic<std::shared_ptr<const indexed_snapshot>> newest_; // shared with requests
    std::unique_ptr<http::client> endpoints_;
    std::unique_ptr<wire::client> peers_;
    result_freer freer_;
    std::optional<stage_exchange> stages_;
    std::optional<gateway_parts> parts_;
    std::unique_ptr<wire::server> work_server_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<http::server> ready_server_;
    std::unique_ptr<http::server> metrics_server_;
    std::unique_ptr<control_loop> control_;
    std::thread control_thread_;
    std::mutex mutex_;
    std::condition_variable shutdown_changed_;
    bool shutdown_requested_{false};
    bool control_responsive_{true}; // of the traffic thread, as last told
};

} // namespace

result<std::unique_ptr<gateway_node>> gateway_node::start(const settings::daemon_settings& settings,
                                                          metrics_registry& metrics) {
    if (!std::holds_alternative<settings::gateway_settings>(settings.role)) {
        return make_error(error_kind::bad_request, "found the settings of another role", "role");
    }
    auto made = std::make_unique<running_gateway>(settings, metrics);
    BOOST_OUTCOME_TRY(made->start());
    return std::unique_ptr<gateway_node>{std::move(made)};
}

} // namespace boragefront::gateway
