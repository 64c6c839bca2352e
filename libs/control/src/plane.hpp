/// \file
/// The control plane's thread: timers, calls and answers around the pure parts.
#pragma once

#include "control/control_plane.hpp"
#include "control_core.hpp"
#include "exchange.hpp"
#include "platform_reader.hpp"
#include "schedules.hpp"
#include "wire/client.hpp"
#include "wire/server.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <set>
#include <thread>

namespace boragefront::control {

/// Counters and gauges of the control plane.
struct plane_metrics {
    explicit plane_metrics(metrics_registry& registry);

    metrics_registry& all;
    counter& bytes_sent;
    counter& bytes_received;
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

/// Everything but `start`, `stop` and the queries runs on the control thread.
class plane final : public control_plane {
public:
    plane(control_options options, role_hooks hooks, metrics_registry& metrics);
    ~plane() override;
    plane(const plane&) = delete;
    plane& operator=(const plane&) = delete;

    /// Binds and starts the thread.
    result<void> run();

    const snapshot_box<config::snapshot>& configuration() const override { return configuration_; }
    const snapshot_box<membership::instance_list>& instances() const override { return instances_; }
    const snapshot_box<heard_sidecars>& sidecars() const override { return sidecars_; }
    bool ready() const override { return ready_.load(std::memory_order_acquire); }
    std::string control_address() const override { return server_->address(); }
    void note_revision(revision seen) override;
    void stop() override;

private:
    using awaitable = boost::asio::awaitable<void>;

    // The periodic work.
    awaitable tick_forever();
    void tick(time_point now);
    void publish_changes(time_point now);
    void publish_configuration();
    void publish_instances(time_point now);
    void update_readiness(time_point now);
    void update_gauges(time_point now);
    void begin_reads(time_point now);
    void begin_gossip(time_point now);
    void begin_heartbeats(time_point now);

    // Conversations.
    awaitable read_config(read_action action);
    awaitable read_list();
    awaitable gossip(std::string address);
    awaitable catch_up(std::string address, wire::knowledge peer, time_point heard_at);
    awaitable beat(membership::instance sidecar);
    boost::asio::awaitable<bool> converse(std::string address, exchange conversation);
    void take_heartbeat(const membership::instance& sidecar, const wire::heartbeat_answer& answer,
                        time_point now);
    void on_version(std::uint64_t before);

    // Answers.
    wire::answer answer(const wire::request& asked);
    wire::heartbeat_answer answer_heartbeat(const wire::heartbeat_request& asked, time_point now);
    wire::status_answer answer_status(time_point now);
    std::string dump(time_point now);

    read_situation situation(time_point now) const;
    std::vector<std::string> peer_addresses() const;

    boost::asio::io_context io_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    control_options options_;
    role_hooks hooks_;
    plane_metrics metrics_;
    random_source random_;

    control_core core_;
    read_schedule reads_;
    list_schedule lists_;
    gossip_schedule gossips_;
    peer_picker picker_;
    heartbeat_schedule heartbeats_;
    heard_sidecars heard_;

    bool reader_{true};
    bool reading_config_{false};
    bool reading_list_{false};
    bool gossiping_{false};
    bool heard_changed_{false};
    bool config_tried_{false};
    bool list_tried_{false};
    std::size_t peers_tried_{0};
    std::set<std::string> catching_up_;
    std::uint64_t published_version_{0};
    time_point gauges_at_{};
    time_point noted_at_{};

    snapshot_box<config::snapshot> configuration_;
    snapshot_box<membership::instance_list> instances_;
    snapshot_box<heard_sidecars> sidecars_;
    std::atomic<revision> highest_{0};
    std::atomic<bool> ready_{false};
    std::atomic<bool> noted_{false};

    platform_reader platform_;
    std::unique_ptr<wire::client> peers_;
    std::unique_ptr<wire::server> server_;
    std::thread thread_;
};

} // namespace boragefront::control
