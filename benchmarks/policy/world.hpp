/// \file
/// A small deployment in memory: entries that decide as ours do, sidecars, endpoints, and callers.
#pragma once

#include "decision_state.hpp"
#include "sidecar_model.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragefront::bench {

/// Endpoints of one kind, spread over the data centres in turn.
struct pool_plan {
    std::string name;
    unsigned endpoints{3};
    endpoint_traits traits{};
};

/// A kind of request.
struct service_plan {
    std::string name;
    std::vector<std::string> pools; ///< one for each stage
    milliseconds deadline{1'000};
    config::lane lane{config::lane::normal};
    double rate{0}; ///< requests a second at 100 % of the capacity
    bool pipeline{false};
    bool fixed_rate{false}; ///< offered at `rate` whatever the load of the row
};

struct deployment_plan {
    std::string name;
    std::vector<std::string> data_centres;
    duration between_data_centres{milliseconds{1}}; ///< one way
    std::vector<pool_plan> pools;
    std::vector<service_plan> services;
};

/// What decides: ours, or with mechanisms replaced by their baselines.
struct policy_plan {
    std::string name;
    routing::choice_policy choice{routing::power_of_two_choices{}};
    sidecar::scheduler_mechanisms mechanisms{};
    bool bounded_retries{true};
    bool hedging{true};
    bool early_refusal{true};
};

enum class fault : std::uint8_t {
    none,
    slow,     ///< one endpoint of each pool takes five times as long
    failing,  ///< one endpoint of each pool fails every call
    cold,     ///< all endpoints of a data centre turn cold at once
    all_fail, ///< every endpoint of the first pool fails every call
};

struct row_plan {
    policy_plan policy{};
    fault what{fault::none};
    double load{0.5}; ///< share of the capacity
    std::uint64_t seed{1};
    seconds length{40};
};

/// What came of the requests of one service.
struct service_tally {
    std::uint64_t offered{0};
    std::uint64_t attained{0};
    std::uint64_t attained_meanwhile{0}; ///< ... before the arrivals ended
    std::uint64_t refused{0};            ///< answered with an error
    std::uint64_t refused_early{0};      ///< ... within 50 ms of their arrival
    std::uint64_t late{0};
    std::map<std::string, std::uint64_t> errors; ///< answered with an error, by kind
};

/// Endpoint time by its use, in milliseconds of virtual time.
struct cost_tally {
    double useful{0};          ///< of results that were used
    double busy{0};            ///< in all
    std::uint64_t stages{0};   ///< stages of pipelines begun
    std::uint64_t attempts{0}; ///< attempts sent for them
    std::uint64_t falls{0};    ///< endpoints that fell over
};

struct row_result {
    std::map<std::string, service_tally> services;
    cost_tally cost;
};

/// Runs one row from start to end on a virtual clock.
row_result run_row(const deployment_plan& deployment, const row_plan& row);

} // namespace boragefront::bench
