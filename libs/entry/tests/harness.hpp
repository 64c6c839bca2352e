/// \file
/// Runs an entry's service with fake callers, sidecars and control plane.
#pragma once

#include "entry_service.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace boragefront::entry::testing {

inline constexpr seconds test_timeout{20};

/// An event loop on its own thread.
class loop_thread {
public:
    loop_thread();
    ~loop_thread();
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    boost::asio::any_io_executor executor() { return io_.get_executor(); }
    boost::asio::io_context& io() { return io_; }
    void stop();

private:
    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::thread thread_;
};

/// A control plane whose snapshots the test sets.
class fake_control : public control::control_plane {
public:
    const atomic_snapshot<config::snapshot>& configuration() const override {
        return configuration_;
    }
    const atomic_snapshot<membership::instance_list>& instances() const override {
        return instances_;
    }
    const atomic_snapshot<control::heard_sidecars>& sidecars() const override { return sidecars_; }
    bool ready() const override { return is_ready; }
    std::string control_address() const override { return "127.0.0.1:0"; }
    void note_revision(revision /*seen*/) override {}
    void stop() override {}

    /// Adds a sidecar to the list and publishes its heartbeat.
    void publish_heartbeat(const control::heard_sidecar& sidecar);
    void publish(config::snapshot configuration);

    std::atomic<bool> is_ready{true};

private:
    std::mutex mutex_;
    control::heard_sidecars heard_;
    atomic_snapshot<config::snapshot> configuration_;
    atomic_snapshot<membership::instance_list> instances_;
    atomic_snapshot<control::heard_sidecars> sidecars_;
};

/// A sidecar with scripted answers; records the messages that it receives.
class fake_sidecar {
public:
    using script = std::function<http::awaitable<void>(const http::request&, http::responder&)>;

    /// \param id name of its endpoint; \param pool that it serves.
    fake_sidecar(std::string id, std::string pool, script answer);

    /// The sidecar's current state as the control plane reports it.
    control::heard_sidecar heartbeat() const;
    const std::string& id() const { return id_; }

    /// The messages to a path so far, in order.
    std::vector<http::request> sent_to(const std::string& path) const;

    std::string data_centre{"here"};
    control::service_phase phase{control::service_phase::serving};
    unsigned limit{8};

private:
    std::string id_;
    std::string pool_;
    mutable std::mutex mutex_;
    std::vector<http::request> sent_;
    loop_thread loop_;
    std::unique_ptr<http::server> server_;
};

/// A script that answers with `{"stage": N, "input": body}`.
http::awaitable<void> echo(const http::request& message, http::responder& out);

/// The answer of a sidecar to a message, with the identity that it echoes.
http::response answer_to(const http::request& message, unsigned status, std::string body);

/// Sends a problem document for the message's identity.
http::awaitable<void> refuse(const http::request& message, http::responder& out, error problem);

/// Sleeps on the current executor.
http::awaitable<void> sleep_for(duration time);

/// A script that answers with three tokens and the end.
http::awaitable<void> stream_three_tokens(const http::request& message, http::responder& out);

/// An entry's service with its HTTP server and a caller.
class harness {
public:
    harness();
    ~harness();
    harness(const harness&) = delete;
    harness& operator=(const harness&) = delete;

    /// Adds a sidecar and publishes its heartbeat.
    fake_sidecar& add_sidecar(std::string id, std::string pool, fake_sidecar::script answer = echo);

    /// Sends a request as a caller and waits for its complete answer.
    http::response call(http::request message);

    /// `call` for a POST to a service of workspace "taller".
    http::response post(const std::string& service, std::string body,
                        const http::header_list& headers = {});

    /// Parses the problem document of an answer.
    static error problem_of(const http::response& answer);

    config::snapshot configuration;
    fake_control control;
    metrics_registry metrics;
    entry_core core{control, metrics, "here"};

private:
    std::vector<std::unique_ptr<fake_sidecar>> sidecars_;
    std::vector<std::unique_ptr<loop_thread>> loops_;
    std::unique_ptr<entry_service> service_;
    std::unique_ptr<http::server> server_;
    loop_thread caller_loop_;
    std::unique_ptr<http::client> caller_;
};

} // namespace boragefront::entry::testing
