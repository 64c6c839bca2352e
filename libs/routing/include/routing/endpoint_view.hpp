/// \file
/// An endpoint as this process sees it, and whether work may be sent there.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragefront::routing {

/// Why an endpoint is not a candidate.
enum class exclusion : std::uint8_t {
    none,        ///< it is a candidate
    stale,       ///< not heard from lately
    not_serving, ///< its sidecar takes no new work
    leaving,     ///< the platform says that it leaves
    out,         ///< operators took it or its data centre out
    suspected,   ///< own evidence: it failed or was silent
};

std::string_view to_string(exclusion why);

/// Longest time since the last heartbeat, unless the control plane says otherwise.
inline constexpr seconds heartbeat_validity{3};

/// One endpoint with what was reported of it and what this process has there.
struct endpoint_view {
    std::string id;
    std::string data_centre;
    std::string data_address; ///< of its sidecar
    incarnation life{0};
    unsigned limit{0};              ///< concurrency in force, as reported
    unsigned reported_in_flight{0}; ///< of all senders
    unsigned reported_queued{0};
    microseconds service_time{0};  ///< usual one, as reported
    unsigned own_in_flight{0};     ///< attempts of this process now ...
    unsigned own_in_flight_at_report{0}; ///< ... and when the load was reported, if that is known
    remote_time clock;             ///< reading of its sidecar's clock ...
    time_point heard_at;           ///< ... at or before this local time
    exclusion excluded{exclusion::none};
    bool tried{false}; ///< an earlier attempt of the same stage went there
};

/// What is known of an endpoint besides its view.
struct endpoint_status {
    bool serving{false}; ///< its sidecar says that it takes work
    bool leaving{false};
    bool in_rotation{false};                     ///< by the published configuration
    milliseconds validity{heartbeat_validity}; ///< of what was last heard
};

/// Whether work may be sent to an endpoint that was last heard from at `heard_at`, own evidence
/// apart.
exclusion exclusion_of(const endpoint_status& facts, time_point heard_at, time_point now);

/// The load that a sidecar reports on its answers.
struct load_report {
    unsigned limit{0};
    unsigned in_flight{0};
    unsigned queued{0};
    microseconds service_time{0}; ///< usual one
};

/// Work in progress and waiting, relative to the limit in force: what was reported, and what this
/// process has added or taken since.
double load_of(const endpoint_view& endpoint);

/// How long one more request would take there, in units that only compare with each other: the
/// load with it, times the usual service time.
double expected_delay_of(const endpoint_view& endpoint);

/// The deadline on the sidecar's clock; never later than the true one, because its clock read
/// `clock` at or before `heard_at`.
remote_time expiry_on_remote_clock(const endpoint_view& endpoint, time_point deadline);

} // namespace boragefront::routing
