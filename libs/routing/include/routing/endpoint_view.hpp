/// \file
/// State of an endpoint as known to this process, and its eligibility for new work.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragefront::routing {

/// Reason why an endpoint is not eligible for new work.
enum class exclusion : std::uint8_t {
    none,        ///< eligible
    stale,       ///< last heartbeat is too old
    not_serving, ///< its sidecar accepts no new work
    leaving,     ///< the platform is removing it
    out,         ///< operators disabled it or its data centre
    suspected,   ///< recent failures or time-outs seen by this process
};

std::string_view to_string(exclusion reason);

/// Default maximum age of the last heartbeat; the control plane may set another.
inline constexpr seconds heartbeat_validity{3};

/// An endpoint with its reported load and the attempts that this process has in flight there.
struct endpoint_view {
    std::string id;
    std::string data_centre;
    std::string data_address; ///< address of its sidecar
    incarnation life{0};
    unsigned limit{0};              ///< reported concurrency limit in force
    unsigned reported_in_flight{0}; ///< from all senders
    unsigned reported_queued{0};
    microseconds service_time{0};        ///< reported typical service time
    unsigned own_in_flight{0};           ///< attempts of this process at present
    unsigned own_in_flight_at_report{0}; ///< the same at the time of the load report, if known
    remote_time clock;   ///< reading of the sidecar's clock, taken at or before `heard_at`
    time_point heard_at; ///< local time of the last heartbeat
    exclusion excluded{exclusion::none};
    bool tried{false}; ///< target of an earlier attempt of the same stage
};

/// Inputs of `exclusion_of` for one endpoint.
struct endpoint_status {
    bool serving{false}; ///< its sidecar accepts work
    bool leaving{false};
    bool in_rotation{false};                   ///< enabled in the published configuration
    milliseconds validity{heartbeat_validity}; ///< maximum age of the last heartbeat
};

/// Returns whether and why an endpoint last heard from at `heard_at` is excluded. Does not consider
/// failures seen by this process.
exclusion exclusion_of(const endpoint_status& status, time_point heard_at, time_point now);

/// Load that a sidecar reports with its responses.
struct load_report {
    unsigned limit{0};
    unsigned in_flight{0};
    unsigned queued{0};
    microseconds service_time{0}; ///< typical service time
};

/// Running and queued work relative to the concurrency limit: the reported load, corrected by the
/// attempts that this process has started or finished since the report.
double load_of(const endpoint_view& endpoint);

/// Relative expected delay of one more request: the load including that request, times the typical
/// service time. Only comparable with other values of this function.
double expected_delay_of(const endpoint_view& endpoint);

/// Converts a deadline to the sidecar's clock. The result is never later than the true deadline,
/// because the sidecar read `clock` at or before `heard_at`.
remote_time expiry_on_remote_clock(const endpoint_view& endpoint, time_point deadline);

} // namespace boragefront::routing
