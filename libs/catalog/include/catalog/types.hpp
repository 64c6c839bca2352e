/// \file
/// The state that operators and endpoints publish, as used by the gateway: routes, services,
/// workspaces and endpoints.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "catalog/store_position.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::catalog {

/// Whether requests of a route may run more than once.
enum class idempotency_class : std::uint8_t {
    idempotent,     ///< may run any number of times
    non_idempotent, ///< runs at most once
};

/// One stage of a pipeline, which runs before the request itself.
struct stage {
    std::string service;
    std::vector<std::size_t> after; ///< indices of the stages whose results it uses
    std::uint64_t result_bytes{0};  ///< approximate size of one result
};

/// A service that a route sends requests to, and its relative share of them.
struct weighted_service {
    std::string service;
    double weight{1}; ///< 0: gets none
};

/// The regions in which requests may be served. Absent: all; empty: none.
using region_list = std::optional<std::vector<std::string>>;

/// A route: the requests that it matches, their services, and their time limits.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< of the path; begins and ends with a slash
    idempotency_class idempotency{idempotency_class::non_idempotent};
    bool streaming{false};          ///< the answer is a stream of events
    bool resumable{false};          ///< a broken stream may be resumed at another endpoint
    bool is_public{false};          ///< requires no API key
    bool shares_prompts{false};     ///< requests identify the shared prefixes of their prompts
    milliseconds timeout{0};        ///< until the answer to the caller; 0: none
    milliseconds latency_goal{0};   ///< until the answer, or the first event of a stream
    milliseconds event_gap_goal{0}; ///< between the events of a stream; 0: none
    int priority{0};                ///< 0 is the most urgent
    unsigned endpoint_limit{1};     ///< maximum number of endpoints that may run one request
    std::vector<weighted_service> services;
    std::vector<stage> stages;
    region_list home_regions;
};

/// Capacity of one endpoint of a stage service.
struct stage_capacity {
    unsigned calls{1};                    ///< maximum number of concurrent calls
    unsigned queue{0};                    ///< maximum number of queued calls
    std::size_t batch{1};                 ///< maximum number of pieces of a call
    microseconds call_time{0};            ///< fixed time per call
    microseconds piece_time{0};           ///< approximate time per piece
    std::uint64_t result_memory_bytes{0}; ///< memory for results
    milliseconds result_lifetime{0};      ///< time until an unreleased result is discarded
};

/// Capacity of one model engine.
struct engine_capacity {
    unsigned slots{1};               ///< maximum number of concurrent requests
    std::uint64_t context_tokens{0}; ///< memory for running requests and cached prompts
};

/// A service: a pool of equivalent endpoints.
struct service {
    std::string name;
    std::string health_path;            ///< of health checks; empty: unknown
    unsigned connection_limit{0};       ///< per endpoint, for all callers; 0: unknown
    milliseconds cold_start{0};         ///< time for which an endpoint is cold after its start
    double cold_requests_per_second{0}; ///< limit of a cold endpoint; 0: unlimited
    std::optional<stage_capacity> stages;
    std::optional<engine_capacity> engine;
};

/// A tenant of the system.
struct workspace {
    std::string name;
    std::optional<int> priority; ///< overrides the priority of the route
    region_list home_regions;
};

/// The workspaces and the API keys that identify them.
struct workspace_directory {
    std::vector<workspace> workspaces;
    std::map<std::string, std::size_t, std::less<>> by_key; ///< index in `workspaces`
};

/// Limits on the requests of callers.
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
    /// Without a directory, no request needs an API key. With an empty one, no key is accepted.
    std::optional<workspace_directory> directory;
    caller_limits limits;
};

enum class endpoint_state : std::uint8_t { ready, draining };

/// One incarnation of an endpoint, as registered by itself.
struct endpoint {
    std::string id;
    std::uint64_t incarnation{0}; ///< differs between starts with the same id; 0: unknown
    std::uint64_t sequence{0};    ///< number of its reports; rises within one incarnation
    std::string service;
    std::string address; ///< "ip:port"
    std::string data_centre;
    std::string version; ///< of its software, only compared for equality; empty: unknown
    unsigned slots{1};
    endpoint_state state{endpoint_state::ready};
    milliseconds cold_remaining{0};         ///< remaining cold time, counted from `seen_at`
    time_point seen_at{};                   ///< when this process learned of the registration
    std::optional<time_point> removed_at{}; ///< since when its registration is missing
};

/// The published state at one point in time. Immutable once built.
struct snapshot {
    std::shared_ptr<const configuration> config; ///< null: unknown. Shared between snapshots
    std::vector<endpoint> endpoints;
    std::set<std::string, std::less<>> evacuated; ///< data centres that take no new work
    store_position config_position;               ///< of the configuration in force
    store_position endpoints_position;            ///< through which the endpoints are known
};

} // namespace boragefront::catalog
