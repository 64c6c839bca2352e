/// \file
/// The published configuration as typed values: what operators edit and every process obeys.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragefront::config {

/// Lanes of admission, in the order in which queues are served.
enum class lane : std::uint8_t {
    urgent,     ///< confirmations, orders and stock checks
    normal,     ///< interactive model work
    background, ///< model work that can wait
};

/// How much work an endpoint may be given.
struct limits {
    unsigned concurrency{8}; ///< requests in progress at one warm endpoint
    unsigned queue{1024};    ///< requests waiting in its sidecar, all lanes together
};

/// How an endpoint that has just started earns its full concurrency.
struct ramp {
    unsigned cold_limit{1};           ///< concurrency while cold
    unsigned completions_per_step{2}; ///< completed requests that earn one more
    double slow_factor{4.0};          ///< a service time this many times the usual one means cold
};

/// Retries of idempotent work.
struct retry {
    unsigned max_attempts{3};
    double budget_ratio{0.1}; ///< retries per successful request
};

/// Second attempts for idempotent work that is slower than usual.
struct hedge {
    bool enabled{true};
    double quantile{0.95};     ///< a hedge starts past this quantile of the stage's latency
    double budget_ratio{0.05}; ///< hedges per request
};

/// Sending requests with an equal prompt prefix to the same engine.
struct affinity {
    bool enabled{false};
    unsigned prefix_bytes{256};
    double load_bound{1.25}; ///< an endpoint above this multiple of the mean load is passed over
};

/// Use of other data centres.
struct spill {
    bool enabled{true};
    double load_threshold{0.8}; ///< share of the local endpoints' limits in use
};

/// `profiles/<name>`
struct profile {
    std::string name;
    milliseconds deadline{11'000}; ///< for requests that carry none, and the most one may carry
    lane priority{lane::normal};
    limits limit{};
    ramp cold_start{};
    retry retries{};
    hedge hedging{};
    affinity prefix_affinity{};
    spill spilling{};
};

/// One stage of a pipeline.
struct stage {
    std::string name;
    std::string pool;
};

/// Stages in order; the result of each is the input of the next. The last one may stream.
struct pipeline {
    std::vector<stage> stages;
};

/// One call to one pool.
struct plain {
    std::string pool;
};

/// `services/<name>`
struct service {
    std::string name;
    std::variant<pipeline, plain> shape;
    std::string profile;
    bool repeatable{false}; ///< whether the work is idempotent
};

/// The stages of a service; a plain service has one, named after the service.
std::vector<stage> stages_of(const service& which);

/// The kinds of endpoint.
enum class endpoint_kind : std::uint8_t { encoder, retriever, reranker, engine, plain };

/// `pools/<name>`: endpoints of one kind under one profile's limits and ramp.
struct pool {
    std::string name;
    endpoint_kind kind{endpoint_kind::plain};
    std::string profile;
};

/// One workspace of `workspaces/<shard>`.
struct workspace {
    std::string name;
    double share{1.0};         ///< weight among the workspaces that wait for one endpoint
    double rate{0.0};          ///< requests per second an entry admits; 0 is unlimited
    unsigned max_in_flight{0}; ///< requests in progress at one entry; 0 is unlimited
};

/// Number of `workspaces/<shard>` keys; shards are named "00" to "3f" in hexadecimal.
inline constexpr unsigned workspace_shards = 64;

/// The shard that holds a workspace: `stable_hash(name) % workspace_shards`, as in "2a".
std::string workspace_shard(std::string_view name);

/// `data_centres/<name>` and `endpoints/<name>`: whether work may be sent there.
enum class service_state : std::uint8_t { in, out };

/// A value that was refused while an earlier one stays in force.
struct refused_value {
    std::string key;
    revision refused{0};
    error reason;
};

/// All valid values in force, indexed by name.
class snapshot {
public:
    std::map<std::string, profile, std::less<>> profiles;
    std::map<std::string, service, std::less<>> services;
    std::map<std::string, pool, std::less<>> pools;
    std::map<std::string, workspace, std::less<>> workspaces;
    std::map<std::string, service_state, std::less<>> data_centres;
    std::map<std::string, service_state, std::less<>> endpoints;
    std::vector<refused_value> refused;
    revision highest{0}; ///< the highest revision that this process holds

    /// The value with this name, or null.
    const service* find_service(std::string_view name) const;
    const workspace* find_workspace(std::string_view name) const;
    const pool* find_pool(std::string_view name) const;
    const profile* find_profile(std::string_view name) const;

    /// Whether work may go to an endpoint in a data centre; what is not published is in.
    bool is_in(std::string_view data_centre, std::string_view endpoint) const;
};

} // namespace boragefront::config
