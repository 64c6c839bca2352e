/// \file
#include "entry/entry_node.hpp"

#include "base/logging.hpp"
#include "dump.hpp"
#include "entry_service.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace boragefront::entry {
namespace {

namespace asio = boost::asio;

constexpr milliseconds drain_poll_interval{10};

// One traffic thread's event loop.
struct traffic_loop {
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::thread thread;
};

std::string host_of(const std::string& address) {
    return address.substr(0, address.rfind(':'));
}

class running_entry : public entry_node {
public:
    running_entry(const settings::daemon_settings& settings, metrics_registry& metrics)
        : settings_{settings}, role_{std::get<settings::entry_settings>(settings.role)},
          metrics_{metrics} {}

    ~running_entry() override {
        stop_threads();
        if (control_ != nullptr) {
            control_->stop();
        }
    }

    result<void> start() {
        make_loops();
        BOOST_OUTCOME_TRY(listen());
        BOOST_OUTCOME_TRY(start_control());
        core_.emplace(*control_, metrics_, settings_.data_centre);
        service_ = std::make_unique<entry_service>(*core_, executors());
        running_ = true;
        for (auto& loop : loops_) {
            loop->thread = std::thread{[&io = loop->io] { io.run(); }};
        }
        log_change("entry", "serving", {{"data_address", data_address()}});
        return success();
    }

    void request_shutdown() override {
        const std::scoped_lock lock{mutex_};
        shutdown_requested_ = true;
        shutdown_changed_.notify_all();
    }

    void wait() override {
        wait_for_shutdown_request();
        core_->draining = true;
        log_change("entry", "shutdown_begun");
        std::this_thread::sleep_for(role_.readiness_grace);
        server_->stop_accepting();
        const bool drained = wait_for_open_requests();
        stop_threads();
        control_->stop();
        log_change("entry", "shutdown_ended", {{"drained", drained ? "true" : "false"}});
    }

    std::string data_address() const override { return data_address_; }
    std::string control_address() const override { return control_->control_address(); }

private:
    void make_loops() {
        const auto count = std::max(1U, role_.traffic_threads);
        for (unsigned i = 0; i < count; ++i) {
            loops_.push_back(std::make_unique<traffic_loop>());
        }
    }

    std::vector<asio::any_io_executor> executors() const {
        std::vector<asio::any_io_executor> all;
        for (const auto& loop : loops_) {
            all.emplace_back(loop->io.get_executor());
        }
        return all;
    }

    // The handler runs only after the threads have started, when `service_` is set.
    result<void> listen() {
        http::server_limits limits;
        limits.body_bytes = role_.body_bytes;
        auto answer = [this](const http::request& message, http::responder& out) {
            return service_->handle(message, out);
        };
        BOOST_OUTCOME_TRY(server_, http::server::listen(executors(), settings_.data_address, limits,
                                                        std::move(answer)));
        data_address_ = host_of(settings_.data_address) + ':' + std::to_string(server_->port());
        return success();
    }

    result<void> start_control() {
        control::control_options options;
        options.self.id = settings_.id;
        options.self.role = membership::instance_role::entry;
        options.self.data_centre = settings_.data_centre;
        options.self.data_address = data_address_;
        options.self.control_address = settings_.control_address;
        options.platform_address = settings_.platform_address;
        options.seed_peers = settings_.seed_peers;
        options.heartbeats_to_sidecars = true;
        control::role_hooks hooks;
        hooks.status = [this] { return status(); };
        hooks.dump = [this] { return dump(); };
        BOOST_OUTCOME_TRY(control_, control::control_plane::start(std::move(options),
                                                                  std::move(hooks), metrics_));
        return success();
    }

    // Called on the control thread, possibly before `core_` is set.
    control::process_status status() const {
        if (!running_) {
            return {};
        }
        const auto phase =
            core_->draining ? control::service_phase::draining : control::service_phase::serving;
        return {phase, core_->in_flight};
    }

    std::string dump() const {
        return running_ ? dump_state(*core_, steady_clock::now()) : std::string{"{}"};
    }

    void wait_for_shutdown_request() {
        std::unique_lock lock{mutex_};
        shutdown_changed_.wait(lock, [this] { return shutdown_requested_; });
    }

    // Returns whether all requests finished within the drain timeout.
    bool wait_for_open_requests() const {
        const auto until = steady_clock::now() + settings_.drain_timeout;
        while (server_->open_requests() > 0 && steady_clock::now() < until) {
            std::this_thread::sleep_for(drain_poll_interval);
        }
        return server_->open_requests() == 0;
    }

    void stop_threads() {
        for (auto& loop : loops_) {
            loop->io.stop();
            if (loop->thread.joinable()) {
                loop->thread.join();
            }
        }
    }

    // Members are destroyed in reverse order: suspended requests, which the event loops hold, refer
    // to `core_`, and the clients' connections refer to the event loops.
    settings::daemon_settings settings_;
    settings::entry_settings role_;
    metrics_registry& metrics_;
    std::unique_ptr<control::control_plane> control_;
    std::optional<entry_core> core_;
    std::vector<std::unique_ptr<traffic_loop>> loops_;
    std::unique_ptr<entry_service> service_;
    std::unique_ptr<http::server> server_;
    std::string data_address_;
    std::atomic<bool> running_{false};
    std::mutex mutex_;
    std::condition_variable shutdown_changed_;
    bool shutdown_requested_{false};
};

} // namespace

result<std::unique_ptr<entry_node>> entry_node::start(const settings::daemon_settings& settings,
                                                      metrics_registry& metrics) {
    if (!std::holds_alternative<settings::entry_settings>(settings.role)) {
        return make_error(error_kind::bad_request, "found the settings of another role", "role");
    }
    auto made = std::make_unique<running_entry>(settings, metrics);
    BOOST_OUTCOME_TRY(made->start());
    return std::unique_ptr<entry_node>{std::move(made)};
}

} // namespace boragefront::entry
