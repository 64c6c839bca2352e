/// \file
/// The concurrency limit of an endpoint during warm-up.
#pragma once

#include "config/types.hpp"

#include <cstdint>
#include <string_view>

namespace boragefront::admission {

/// Why an endpoint is considered cold.
enum class cold_cause : std::uint8_t {
    started,            ///< the sidecar has just started; the state of the endpoint is unknown
    endpoint_restarted, ///< the endpoint reports a new incarnation
    reported_cold,      ///< the endpoint reports itself cold
    connection_failed,  ///< the endpoint is unreachable, or dropped a call
    slow,               ///< a request runs far longer than the typical service time
    cache_lost,         ///< cached prefixes more than halved between two reports
    overloaded,         ///< the endpoint refused a request
};

std::string_view to_string(cold_cause cause);

/// Sequence number of a warm-up phase. Work records the phase in which it was dispatched.
using warm_up_id = std::uint64_t;

/// Starts at the cold limit and allows one more concurrent request per `completions_per_step`
/// completions, up to the full limit. A fall-back to the cold limit takes effect immediately.
class concurrency_ramp {
public:
    /// \param enabled false only in tests: the full limit then always applies.
    concurrency_ramp(config::limits limits, config::ramp policy, bool enabled = true);

    /// Number of requests that the endpoint may currently have in progress.
    unsigned limit() const;
    unsigned full_limit() const { return full_; }
    bool is_full() const { return limit() == full_; }
    cold_cause last_cause() const { return last_cause_; }
    warm_up_id warm_up() const { return warm_up_; }

    /// Applies changed limits; keeps the progress of the current warm-up.
    void set_policy(config::limits limits, config::ramp policy);

    /// Called when a request succeeded. Requests dispatched in an earlier warm-up do not count,
    /// since they say nothing about the current state of the endpoint.
    void on_completed(warm_up_id dispatched_in);

    /// Returns to the cold limit and starts a new warm-up.
    void fall_back(cold_cause cause);

    /// Records whether the endpoint reports itself cold; the limit does not rise while it does.
    /// \returns whether this caused a fall-back.
    bool set_reported_cold(bool cold);

private:
    unsigned full_;
    config::ramp policy_;
    bool enabled_;
    bool reported_cold_{false};
    unsigned steps_{0}; ///< by which the limit exceeds the cold limit
    unsigned completions_{0};
    warm_up_id warm_up_{1};
    cold_cause last_cause_{cold_cause::started};
};

} // namespace boragefront::admission
