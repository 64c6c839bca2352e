/// \file
/// The control plane's thread: timers, calls and answers around the pure parts.
#pragma once

#include "control/control_plane.hpp"
#include "control_node.hpp"
#include "platform_reader.hpp"
#include "wire/client.hpp"
#include "wire/server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <optional>
#include <thread>

namespace boragefront::control {

/// Counters and gauges of the control plane.
struct plane_metrics {
    explicit plane_metrics(metrics_registry& registry);

    metrics_registry& all;
    counter& bytes_sent;
    counter& bytes_received;
    counter& platform_bytes;
    counter& platform_reads;
    counter& platform_failures;
    counter& exchanges;
    counter& exchange_failures;
    counter& heartbeats;
    counter& heartbeat_failures;
    gauge& revision_held;
    gauge& knowledge_age;
    gauge& refused_values;
    gauge& platform_stale;
    gauge& instances;
    gauge& reader;
};

/// Everything but `run`, `stop` and the queries happens on the control thread.
class plane final : public control_plane {
public:
    plane(control_options options, role_hooks hooks, metrics_registry& metrics);
    ~plane() override;
    plane(const plane&) = delete;
    plane& operator=(const plane&) = delete;

    /// Binds and starts the thread.
    result<void> run();

    const atomic_snapshot<config::snapshot>& configuration() const override {
        return configuration_;
    }
    const atomic_snapshot<membership::instance_list>& instances() const override {
        return instances_;
    }
    const atomic_snapshot<heard_sidecars>& sidecars() const override { return sidecars_; }
    bool ready() const override { return ready_.load(std::memory_order_acquire); }
    std::string control_address() const override { return server_->address(); }
    void note_revision(revision seen) override;
    void stop() override;

private:
    using awaitable = boost::asio::awaitable<void>;

    /// The sidecars that this entry keeps in touch with: a subset of each pool, but all of those
    /// that may be the home of an idempotency key.
    std::vector<membership::instance> own_subset(const membership::instance_list& believed) const;

    awaitable tick_forever();
    void tick(time_point now);
    void publish_changes(time_point now);
    void publish_configuration();
    void publish_readiness();
    void update_gauges(time_point now);

    // What carries out the node's actions.
    awaitable carry_out(read_config_action wanted);
    awaitable carry_out(read_list_action wanted);
    awaitable carry_out(converse_action wanted);
    awaitable carry_out(beat_action wanted);
    boost::asio::awaitable<bool> converse(converse_action& wanted);

    wire::answer answer(const wire::request& asked);
    wire::status_answer answer_status(time_point now) const;
    std::string dump(time_point now) const;

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    control_options options_;
    role_hooks hooks_;
    plane_metrics metrics_;
    std::optional<control_node> node_; // made once the control address is known

    std::uint64_t published_version_{0};
    bool heard_changed_{false};
    bool platform_was_stale_{false};
    time_point gauges_at_{};

    atomic_snapshot<config::snapshot> configuration_;
    atomic_snapshot<membership::instance_list> instances_;
    atomic_snapshot<heard_sidecars> sidecars_;
    std::atomic<revision> highest_{0};
    std::atomic<bool> ready_{false};
    std::atomic<bool> noted_{false};

    platform_reader platform_;
    std::unique_ptr<wire::client> peers_;
    std::unique_ptr<wire::server> server_;
    std::thread thread_;
};

} // namespace boragefront::control
