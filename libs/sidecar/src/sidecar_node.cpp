/// \file
/// Implementation of a sidecar's start and end.
#include "sidecar/sidecar_node.hpp"

#include "http/server.hpp"
#include "state_dump.hpp"
#include "traffic.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <optional>
#include <thread>

namespace boragefront::sidecar {
namespace {

namespace asio = boost::asio;

constexpr milliseconds drain_step{20};
constexpr milliseconds drain_linger{1'500}; ///< until entries have heard of the drain
constexpr milliseconds close_time{500};     ///< for connections to end after the last answer

class node : public sidecar_node {
public:
    explicit node(const settings::daemon_settings& settings, metrics_registry& metrics)
        : settings_{settings}, traffic_{io_.get_executor(), settings, metrics} {}

    ~node() override {
        control_.reset();
        io_.stop();
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    result<void> start(metrics_registry& metrics, const control_starter& start_control) {
        auto handle = [this](const http::request& message, http::responder& out) {
            return traffic_.handle(message, out);
        };
        BOOST_OUTCOME_TRY(server_, http::server::listen({io_.get_executor()},
                                                        settings_.data_address, {}, handle));
        BOOST_OUTCOME_TRY(control_, start_control(make_options(), make_hooks(), metrics));
        traffic_.start(*control_);
        thread_ = std::thread{[this] { io_.run(); }};
        return success();
    }

    void request_shutdown() override {
        asio::post(io_, [this] {
            if (!draining_) {
                draining_ = true;
                traffic_.begin_drain();
                asio::co_spawn(io_, drain(), asio::detached);
            }
        });
    }

    void wait() override {
        if (thread_.joinable()) {
            thread_.join();
        }
        control_->stop();
    }

    std::string data_address() const override {
        const auto host = settings_.data_address.substr(0, settings_.data_address.rfind(':'));
        return host + ':' + std::to_string(server_->port());
    }

    std::string control_address() const override { return control_->control_address(); }

private:
    control::control_options make_options() const {
        control::control_options options;
        options.self.id = settings_.id;
        options.self.role = membership::instance_role::sidecar;
        options.self.data_centre = settings_.data_centre;
        options.self.pool = std::get<settings::sidecar_settings>(settings_.role).pool;
        options.self.data_address = data_address();
        options.self.control_address = settings_.control_address;
        options.platform_address = settings_.platform_address;
        options.seed_peers = settings_.seed_peers;
        return options;
    }

    control::role_hooks make_hooks() {
        control::role_hooks hooks;
        hooks.report = [this] {
            return make_report(*traffic_.published().load(), traffic_.life(), steady_clock::now());
        };
        hooks.status = [this] {
            const auto state = traffic_.published().load();
            return control::process_status{state->scheduler.phase,
                                           static_cast<unsigned>(state->scheduler.running)};
        };
        hooks.dump = [this] {
            return write_dump(*traffic_.published().load(), traffic_.life(), steady_clock::now());
        };
        return hooks;
    }

    http::awaitable<void> sleep_for(milliseconds time) {
        asio::steady_timer timer{io_, time};
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Goes on answering until nothing is in progress and entries know, then closes.
    http::awaitable<void> drain() {
        const auto started = steady_clock::now();
        for (;;) {
            co_await sleep_for(drain_step);
            const auto took = steady_clock::now() - started;
            const bool done = traffic_.is_idle() && server_->open_requests() == 0;
            if ((done && took >= drain_linger) || took >= settings_.drain_timeout) {
                break;
            }
        }
        server_->stop_accepting();
        traffic_.stop();
        co_await sleep_for(close_time);
        server_->close();
        io_.stop();
    }

    settings::daemon_settings settings_;
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    traffic traffic_;
    std::unique_ptr<http::server> server_;
    std::unique_ptr<control::control_plane> control_;
    std::thread thread_;
    bool draining_{false}; // of the traffic thread
};

} // namespace

result<std::unique_ptr<sidecar_node>> sidecar_node::start(const settings::daemon_settings& settings,
                                                          metrics_registry& metrics,
                                                          const control_starter& start_control) {
    if (!std::holds_alternative<settings::sidecar_settings>(settings.role)) {
        return make_error(error_kind::bad_request, "the settings are not a sidecar's", "role");
    }
    auto made = std::make_unique<node>(settings, metrics);
    BOOST_OUTCOME_TRY(made->start(metrics, start_control));
    return std::unique_ptr<sidecar_node>{std::move(made)};
}

} // namespace boragefront::sidecar
