/// \file
/// Entries and requests on the virtual clock, deciding by the entry's own machines.
#pragma once

#include "world.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::bench {

double milliseconds_of(duration time);

/// An endpoint and its sidecar.
struct virtual_node {
    virtual_node(virtual_clock& clock, std::string pool_name, std::string name, std::string place,
                 endpoint_traits traits, sidecar::scheduler_mechanisms mechanisms,
                 std::uint64_t seed);

    std::string pool;
    std::string id;
    std::string data_centre;
    endpoint_model endpoint;
    sidecar_model sidecar;
};

/// What all entries and requests share.
struct fleet {
    virtual_clock clock;
    time_point arrivals_end{};
    std::vector<std::unique_ptr<virtual_node>> nodes;
    row_result result;
};

/// One entry: what it last heard of the sidecars, and its decisions.
class virtual_entry {
public:
    virtual_entry(fleet& all, const policy_plan& policy, std::string data_centre,
                  duration between_data_centres, std::uint64_t seed);

    /// A caller's request arrives.
    void receive(const service_plan& service);

    fleet& all() { return all_; }
    entry::decision_state& decisions() { return decisions_; }
    const policy_plan& policy() const { return policy_; }

    /// Chooses an endpoint of a pool and counts an attempt there. \returns null if there is none.
    virtual_node* choose(std::string_view pool, const std::vector<std::string>& tried);

    /// One way from here to a node.
    duration delay_to(const virtual_node& node) const;

    std::string next_request_id();

private:
    void hear();

    fleet& all_;
    policy_plan policy_;
    std::string data_centre_;
    duration between_data_centres_;
    random_source random_;
    entry::decision_state decisions_;
    std::vector<routing::endpoint_view> heard_; ///< in the order of the nodes
};

/// One request on its way through its stages. Keeps itself alive until it is answered.
class virtual_request : public std::enable_shared_from_this<virtual_request> {
public:
    virtual_request(virtual_entry& home, const service_plan& service);

    void begin_stage();

private:
    struct attempt {
        virtual_node* node{nullptr};
        time_point launched_at;
        bool ended{false};
    };

    // One stage's race; attempts of an earlier stage must not touch a later one's.
    struct race {
        std::size_t stage{0};
        execution::idempotent_stage machine;
        execution::stage_times times;
        std::vector<attempt> attempts;
        std::vector<std::string> tried;
        bool over{false};
    };
    using race_ptr = std::shared_ptr<race>;

    entry::stage_key key_of(std::size_t stage) const;
    config::profile profile() const;
    execution::idempotent_step next_step(race& running, time_point now);
    void step(const race_ptr& running);
    void launch(const race_ptr& running, unsigned number);
    void on_outcome(const race_ptr& running, unsigned number, const ledger::outcome& what,
                    routing::load_report load);
    void on_answer(const race_ptr& running, unsigned number, duration service_time);
    void on_error(const race_ptr& running, unsigned number, const error& failure);
    void end_race(const race_ptr& running);
    void stage_done(const race_ptr& running);
    void answer_error(const error& failure);

    virtual_entry& home_;
    const service_plan& service_;
    std::string id_;
    time_point arrived_;
    time_point deadline_;
    std::size_t stage_{0};
};

} // namespace boragefront::bench
