/// \file
/// The traffic thread of a sidecar: entries' requests, calls to the endpoint and the clock's ticks.
#pragma once

#include "base/metrics.hpp"
#include "control/control_plane.hpp"
#include "endpoint_adapter.hpp"
#include "home_history.hpp"
#include "http/server.hpp"
#include "live_work.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>
#include <unordered_map>

namespace boragefront::sidecar {

/// What the control thread reads of the traffic thread.
struct published_state {
    scheduler_state scheduler;
    time_point at{};
};

/// Wires the scheduler to HTTP. All members but `published` run on one thread.
class traffic {
public:
    /// \param metrics outlives this.
    traffic(boost::asio::any_io_executor executor, const settings::daemon_settings& settings,
            metrics_registry& metrics);

    /// Begins to tick and to ask the endpoint for its load.
    /// \param control outlives this.
    void start(control::control_plane& control);

    /// Answers one request.
    http::awaitable<void> handle(const http::request& message, http::responder& out);

    /// New work is refused from now on.
    void begin_drain();

    /// Whether no work waits or runs.
    bool is_idle() const;

    /// Ends the loops and closes the calls to the endpoint.
    void stop();

    incarnation life() const { return life_; }
    const atomic_snapshot<published_state>& published() const { return published_; }

private:
    http::awaitable<void> handle_work(const http::request& message, http::responder& out);
    http::awaitable<void> handle_release(const http::request& message, http::responder& out);
    http::awaitable<void> handle_outcome(const http::request& message, http::responder& out);
    http::awaitable<void> handle_acknowledge(const http::request& message, http::responder& out);
    http::awaitable<void> handle_probe(bool ready, http::responder& out);
    http::awaitable<void> answer(ledger::work_response arrived, work_id asked, bool stream,
                                 http::responder& out);
    http::awaitable<void> answer_live(shared_work live, work_id asked, bool stream,
                                      http::responder& out);
    http::awaitable<void> send_outcome(work_id asked, ledger::outcome what, http::responder& out);
    http::awaitable<void> send_problem(work_id asked, error reason, http::responder& out,
                                       std::string other_homes = {});
    http::awaitable<bool> catch_up(revision wanted);
    void vouch_for_key(work_message& work) const;
    std::string other_homes_of(const std::string& key_id) const;

    http::awaitable<void> run_work(shared_work live);
    http::awaitable<void> tick_loop();
    http::awaitable<void> load_loop();

    clock_reading now() const;
    void dispatch_and_wake();
    void peer_left(const shared_work& live);
    void refresh_knowledge();
    bool is_listed_as_leaving() const;
    service_phase wanted_phase(const config::snapshot& configuration) const;
    void count_end(const endpoint_result& ended, duration took);
    void publish_state();
    std::string load_text() const;
    http::response head_for(const work_id& asked) const;

    boost::asio::any_io_executor executor_;
    std::string id_;
    std::string data_centre_;
    std::string pool_;
    metrics_registry& metrics_;
    incarnation life_;
    std::unique_ptr<http::client> client_;
    endpoint_adapter endpoint_;
    work_scheduler scheduler_;
    home_history homes_;
    std::unordered_map<work_id, shared_work> live_;
    control::control_plane* control_{nullptr}; ///< not owned
    std::shared_ptr<const config::snapshot> obeyed_;
    std::shared_ptr<const membership::instance_list> listed_;
    bool draining_{false};
    bool stopped_{false};
    atomic_snapshot<published_state> published_;
};

} // namespace boragefront::sidecar
