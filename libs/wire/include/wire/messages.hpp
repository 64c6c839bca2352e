/// \file
/// The messages between the processes of the system. Every request is idempotent.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "catalog/replica.hpp"
#include "config/store.hpp"
#include "continuation/stream_origins.hpp"
#include "continuation/version_history.hpp"
#include "membership/instance.hpp"
#include "stages/piece.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragefront::wire {

/// Whether a process takes new work.
enum class service_phase : std::uint8_t { starting, serving, draining, out };

std::string_view to_string(service_phase phase);

/// How good a process's knowledge of the configuration and of the instance list is.
struct knowledge {
    revision highest{0};
    bool confirmed{false}; ///< by the platform or a confirmed peer, since the process started
    milliseconds age{0};   ///< since the platform last confirmed it, through any chain of peers
    bool list_known{false};
    std::uint64_t list_hash{0};
    milliseconds list_age{0};     ///< since the list was read from the platform, by anyone
    std::uint64_t config_hash{0}; ///< of all revisions held
};

/// First round of anti-entropy: a key belongs to bucket `hash(key) % bucket_hashes.size()`. Without
/// hashes it compares knowledge only.
struct digest_request {
    knowledge held;
    std::vector<std::uint64_t> bucket_hashes{};
    std::string from_address{}; ///< the asker's control address
};
struct digest_answer {
    std::vector<std::uint32_t> differing_buckets;
    knowledge held;
};

/// Second round: what the asker holds in the buckets that differ, and what the answerer asked for.
struct delta_request {
    std::vector<std::uint32_t> buckets;
    std::uint32_t bucket_count{0};
    std::vector<config::held_revisions> held;
    std::vector<config::published_entry> offered;
};
struct delta_answer {
    std::vector<config::published_entry> entries; ///< what the asker lacks
    std::vector<std::string> wanted;              ///< keys that the answerer lacks
    bool complete{false};                         ///< whether `entries` holds all of it
};

struct heartbeat_request {
    std::string from; ///< instance id
    knowledge held;
};
struct heartbeat_answer {
    incarnation life{0};
    service_phase phase{service_phase::starting};
    std::uint32_t concurrency_limit{0};
    std::uint32_t in_flight{0};
    std::uint32_t queued{0};
    microseconds service_time{0};
    remote_time clock; ///< the answerer's monotonic clock
    knowledge held;
};

struct status_request {};
struct status_answer {
    std::string id;
    membership::instance_role role{membership::instance_role::entry};
    std::string data_centre;
    service_phase phase{service_phase::starting};
    revision highest{0};
    milliseconds knowledge_age{0};
    std::uint32_t in_flight{0};
    std::uint32_t refused_values{0};
    bool ready{false};
};

struct dump_request {};
struct dump_answer {
    std::string json;
};

struct metrics_request {};
struct metrics_answer {
    std::string exposition;
};

/// Asks for the platform's list as the answerer knows it, if that is newer than the asker's.
struct instances_request {
    std::vector<std::uint64_t> bucket_hashes; ///< of the asker's list; empty asks for all of it
    milliseconds age{0};                      ///< of the asker's list
};
struct instances_answer {
    std::vector<membership::instance> instances; ///< all that belong to `buckets`
    milliseconds age{0};                ///< since the list was read from the platform, by anyone
    std::vector<std::uint32_t> buckets; ///< which the answer replaces
    bool known{false};                  ///< whether the answerer has a list at all
};

/// An entry as entries tell of each other.
struct entry_info {
    std::string id;
    incarnation life{0};
    std::string data_centre;
    std::string control_address;
    std::string work_address; ///< where it takes stage work
    bool serving{false};      ///< takes work; false while it starts or drains
    milliseconds heard{0};    ///< since it was last heard of, by anyone
    double processors{1};     ///< its share of processor cores
    double link_mbps{0};      ///< bandwidth of its network link; 0: unknown
    /// How long it has accepted work, as of `heard` ago. 0: it does not, or does not say.
    milliseconds serving_for{0};
};

/// An entry that the sender observes to respond late.
struct late_entry {
    std::string id;
    incarnation life{0};
};

/// The sender's estimate of the capacity of an endpoint.
struct endpoint_estimate {
    std::uint64_t endpoint{0};    ///< hash of its id
    std::uint64_t incarnation{0}; ///< of the endpoint
    unsigned speed_percent{100};  ///< 100: as fast as the median of its peers
    unsigned concurrency{0};      ///< its concurrency limit, in requests; 0: unknown
    milliseconds age{0};          ///< since it was last confirmed by an observation
};

/// A limit that an endpoint announces in its responses.
struct endpoint_limit {
    std::uint64_t endpoint{0};    ///< hash of its id
    std::uint64_t incarnation{0}; ///< of the endpoint
    double per_second{0};         ///< requests from all entries together; 0: no longer announced
    milliseconds age{0};          ///< since any entry received the response
};

/// What an entry observes of others and of endpoints.
struct fleet_observations {
    std::vector<late_entry> late_entries;
    std::vector<endpoint_estimate> estimates;
    std::vector<endpoint_limit> limits{};
    std::vector<continuation::origin_report> origins{};
    std::optional<continuation::version_report> versions{}; ///< for an entry that has just started
};

/// Bounds the growth of a gossip message to about 1.5 kB, whatever the size of the fleet. Streams
/// add up to 8 kB while a service has several software versions.
inline constexpr std::size_t late_entry_limit = 8;
inline constexpr std::size_t endpoint_estimate_limit = 24;
inline constexpr std::size_t endpoint_limit_limit = 16;

/// Bounds on streams and past versions in one message. Streams are told only while a service has
/// several versions.
inline constexpr std::size_t stream_origin_limit = 1'024;
inline constexpr std::size_t all_stream_origins_limit =
    2'048; ///< for an entry that has just started
inline constexpr std::size_t version_sighting_limit = 1'024;

/// A crash of an engine while it processed a request with a certain part of a prompt.
struct crash_info {
    std::uint64_t engine{0};
    milliseconds crashed_ago{0};
    milliseconds sent_ago{0};
    bool response_begun{false};
    bool cleared{false};
    /// Since when content of the response had been arriving; empty: none had.
    std::optional<milliseconds> content_ago{};
};

/// A part of a prompt that is suspected to crash engines.
struct suspected_part {
    std::string part;
    std::vector<crash_info> crashes;
};

/// Exchange between entries: who is there, and what of the published state the asker lacks.
struct gossip_request {
    entry_info self;
    std::vector<entry_info> others;
    catalog::store_position configuration_through;
    catalog::store_position endpoints_through;
    std::vector<suspected_part> suspected_parts{};
    bool knows_eras{true}; ///< false: the sender compares bare revisions
    fleet_observations observations{};
    /// Size of the changes of each part of the published state, in bytes, from which on the
    /// answerer withholds them; empty: it withholds none.
    std::optional<std::uint64_t> max_delta_bytes{};
    bool wants_versions{false}; ///< the sender has just started, and knows no past versions
};
struct gossip_answer {
    entry_info self;
    std::vector<entry_info> others;
    catalog::replica_delta configuration;
    catalog::replica_delta endpoints;
    std::vector<suspected_part> suspected_parts{};
    fleet_observations observations{};
    bool delta_withheld{false}; ///< the answerer has changes that exceed `max_delta_bytes`
};

/// Asks the entry that dispatches for a stage service to have pieces made.
struct make_pieces_request {
    std::string from_address; ///< the asker's work address
    std::string asker;        ///< id of the asking entry
    std::uint64_t ticket{0};  ///< unique at the asker
    std::string service;
    stages::piece_group group; ///< its times are filled in from the two below
    milliseconds wanted_in{0};
    milliseconds useless_in{0};
};
struct make_pieces_answer {
    bool accepted{false};
    milliseconds expected{0};    ///< until the last piece is made
    milliseconds retry_after{0}; ///< if refused: when they would be accepted
};

/// Tells the asker how its pieces ended.
struct pieces_done_request {
    std::string dispatcher;
    std::uint64_t ticket{0};
    bool expired{false};
    std::vector<stages::piece_result> results;
    milliseconds retry_after{0}; ///< of an expired group
};
struct pieces_done_answer {};

/// Tells the dispatcher that pieces are not wanted any more.
struct cancel_pieces_request {
    std::string asker;
    std::uint64_t ticket{0};
    std::string service;
};
struct cancel_pieces_answer {};

/// Tells the dispatcher that results are not needed any more; it frees them at their makers.
struct release_results_request {
    std::string service;
    std::vector<std::string> handles;
};
struct release_results_answer {};

/// The request could not be read.
struct refusal {
    std::string detail;
};

using request =
    std::variant<digest_request, delta_request, heartbeat_request, status_request, dump_request,
                 metrics_request, instances_request, gossip_request, make_pieces_request,
                 pieces_done_request, cancel_pieces_request, release_results_request>;
using answer =
    std::variant<digest_answer, delta_answer, heartbeat_answer, status_answer, dump_answer,
                 metrics_answer, instances_answer, gossip_answer, make_pieces_answer,
                 pieces_done_answer, cancel_pieces_answer, release_results_answer, refusal>;

/// Longest message that is sent or read.
inline constexpr std::size_t message_bytes_limit = 8U << 20U;

/// Most buckets of a digest.
inline constexpr std::size_t bucket_limit = 1024;

std::string encode(const request& message);
std::string encode(const answer& message);

/// Read what `encode` wrote. \returns `bad_request` for anything else.
result<request> decode_request(std::string_view bytes);
result<answer> decode_answer(std::string_view bytes);

} // namespace boragefront::wire
