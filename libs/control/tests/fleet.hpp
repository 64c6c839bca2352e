/// \file
/// A fleet of control nodes and a platform on a virtual clock, with a network that loses, doubles,
/// delays and partitions.
#pragma once

#include "control_node.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace boragefront::control {

/// How the network treats messages.
struct network_faults {
    double loss{0.0};        ///< share of messages lost, each way
    double duplication{0.0}; ///< share of requests delivered twice
    milliseconds latency_most{3};
};

/// The platform of a simulation.
struct simulated_platform {
    std::vector<config::published_entry> history;
    std::vector<membership::instance> instances;
    bool down{false};
    std::optional<revision> stale_at;
    std::size_t calls{0};

    revision highest() const;
    platform_config read(revision since) const;
    revision publish(const std::string& key, const std::string& value);
};

struct fleet_size {
    std::size_t entries;
    std::size_t sidecars;
    std::size_t data_centres;
    std::size_t beats_per_entry; ///< sidecars that each entry sends heartbeats
};

/// Drives the nodes. Node i lives in data centre i % data_centres.
class fleet {
public:
    fleet(fleet_size size, network_faults faults, std::uint64_t seed);

    /// Advances the virtual clock.
    void run_for(milliseconds span);

    /// Advances until a condition holds. \returns the time that it took, or nothing.
    std::optional<milliseconds> run_until(const std::function<bool()>& condition,
                                          milliseconds most);

    /// Replaces a node by one that knows nothing.
    void restart(std::size_t index);

    std::size_t size() const { return nodes_.size(); }
    control_node& node(std::size_t index) { return *nodes_[index].node; }

    /// Whether all nodes hold the same, up to this revision.
    bool converged(revision highest) const;
    bool all_ready() const;

    simulated_platform platform;
    /// Whether two nodes can talk; node `platform_index` is the platform.
    std::function<bool(std::size_t, std::size_t)> connected;
    static constexpr std::size_t platform_index = ~std::size_t{0};

    /// Checks after each event that no key of a node falls back; set by tests.
    std::function<void(std::size_t)> after_event;

    /// Encoded bytes that a node sent and received, and how many conversations it began.
    std::uint64_t bytes_of(std::size_t index) const { return nodes_[index].bytes; }
    bool count_bytes{false};

private:
    struct simulated_node {
        std::unique_ptr<control_node> node;
        membership::instance self;
        std::uint64_t life{0};
        std::uint64_t bytes{0};
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator>(const event& other) const {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    void start_node(std::size_t index);
    void schedule(milliseconds delay, std::function<void()> act);
    void tick(std::size_t index, std::uint64_t life);
    void carry_out(std::size_t index, const read_config_action& wanted);
    void carry_out(std::size_t index, const read_list_action& wanted);
    void carry_out(std::size_t index, converse_action wanted);
    void carry_out(std::size_t index, const beat_action& wanted);
    void watch(std::size_t index, const read_config_action& wanted, time_point until);
    void step(std::size_t index, const std::shared_ptr<converse_action>& wanted);

    /// Sends a request; `done` gets the answer, or nothing after a time-out.
    void call(std::size_t from, const std::string& address, wire::request asked,
              const std::function<void(std::optional<wire::answer>)>& done);
    wire::answer answer(std::size_t index, const wire::request& asked);
    bool arrives(std::size_t from, std::size_t to);
    milliseconds latency();
    std::function<void()> if_alive(std::size_t index, std::function<void()> act);
    void step_clock();

    fleet_size size_;
    network_faults faults_;
    random_source random_;
    time_point now_{std::chrono::hours{1}};
    std::uint64_t order_{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<simulated_node> nodes_;
    std::map<std::string, std::size_t> by_address_;
};

} // namespace boragefront::control
