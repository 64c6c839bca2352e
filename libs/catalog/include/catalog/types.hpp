/// \file
/// What operators and endpoints publish, as the gateway uses it: routes, services, workspaces and
/// endpoints.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::catalog {

/// How often a request of a route may run.
enum class idempotency_class : std::uint8_t {
    idempotent,     ///< may run any number of times
    non_idempotent, ///< runs at most once
};

/// One stage of a pipeline: work that is done before the request itself runs.
struct stage {
    std::string service;
    std::vector<std::size_t> after; ///< indices of the stages whose results it reads
    std::uint64_t result_bytes{0};  ///< approximate size of one result
};

/// A service that a route sends requests to, with its share of them.
struct weighted_service {
    std::string service;
    unsigned weight{1};
};

/// A route: which requests it takes, where they go and how long they may take.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    idempotency_class idempotency{idempotency_class::non_idempotent};
    bool streaming{false};          ///< the answer is a stream of events
    bool resumable{false};          ///< a broken stream may go on at another endpoint
    bool is_public{false};          ///< needs no key
    bool shares_prompts{false};     ///< requests name shared parts of their prompts
    milliseconds timeout{0};        ///< longest time that a caller is kept waiting; 0 is none
    milliseconds latency_goal{0};   ///< to the answer, or to a stream's first event
    milliseconds event_gap_goal{0}; ///< longest pause between the events of a stream; 0 is none
    int priority{0};                ///< 0 is the most urgent
    unsigned endpoint_limit{1};     ///< most endpoints on which one request may run
    std::vector<weighted_service> services;
    std::vector<stage> stages;
    std::vector<std::string> home_regions; ///< empty: any region
};

/// What one endpoint of a stage service can do.
struct stage_capacity {
    unsigned calls{1};                  ///< calls in progress at the same time
    unsigned queue{0};                  ///< further calls that may wait
    std::size_t batch{1};               ///< most pieces of a call
    microseconds call_time{0};          ///< fixed time of a call
    microseconds piece_time{0};         ///< approximate time of each piece
    std::uint64_t result_memory_bytes{0}; ///< memory for results
    milliseconds result_lifetime{0};    ///< how long a result is kept that nobody frees
};

/// What one model engine can do.
struct engine_capacity {
    unsigned slots{1};               ///< requests that run at the same time
    std::uint64_t context_tokens{0}; ///< memory for running requests and cached prompts
};

/// A service: a pool of endpoints that do the same work.
struct service {
    std::string name;
    unsigned connection_limit{0};       ///< of one endpoint, from all callers; 0 is unknown
    milliseconds cold_start{0};         ///< how long an endpoint is cold after its start
    double cold_requests_per_second{0}; ///< what a cold endpoint bears; 0 is no limit
    std::optional<stage_capacity> stages;
    std::optional<engine_capacity> engine;
};

/// A team that shares the system.
struct workspace {
    std::string name;
    std::optional<int> priority; ///< takes precedence over the route's
    std::vector<std::string> home_regions;
};

/// Bounds on what callers send.
struct caller_limits {
    std::size_t header_bytes{16U << 10U};
    std::size_t body_bytes{4U << 20U};
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};
};

/// The operators' configuration.
struct configuration {
    std::uint64_t version{0};
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    std::vector<workspace> workspaces;
    std::map<std::string, std::size_t, std::less<>> workspace_of_key; ///< index in `workspaces`
    caller_limits limits;
};

enum class endpoint_state : std::uint8_t { ready, draining };

/// One life of an endpoint, as it describes itself.
struct endpoint {
    std::string id;
    std::uint64_t incarnation{0}; ///< differs between two starts under one id; 0 if it is not told
    std::string service;
    std::string address; ///< "ip:port"
    std::string data_centre;
    unsigned slots{1};
    endpoint_state state{endpoint_state::ready};
    milliseconds cold_remaining{0};               ///< how much longer it stays cold, from `seen_at` on
    time_point seen_at{};                   ///< when this process learned it
    std::optional<time_point> removed_at{}; ///< since when its entry is missing
};

/// Everything that is published, at one moment. Immutable once built.
struct snapshot {
    std::shared_ptr<const configuration> config; ///< null: none is known. Shared between snapshots
    std::vector<endpoint> endpoints;
    std::set<std::string, std::less<>> evacuated; ///< data centres that take no new work
    revision config_revision{0};    ///< of the configuration in force; 0: none is known
    revision endpoints_revision{0}; ///< through which the endpoints are known; 0: not at all
};

} // namespace boragefront::catalog
