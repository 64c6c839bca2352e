/// \file
/// The concurrency limit of an endpoint that warms up.
#pragma once

#include "config/types.hpp"

#include <cstdint>
#include <string_view>

namespace boragefront::admission {

/// Why an endpoint is taken to be cold.
enum class cold_cause : std::uint8_t {
    started,            ///< the sidecar has just started and knows nothing
    endpoint_restarted, ///< the endpoint reports another instance of itself
    reported_cold,      ///< the endpoint says that it is cold
    connection_failed,  ///< the endpoint cannot be reached, or dropped a call
    slow,               ///< a request runs far longer than usual
    cache_lost,         ///< the endpoint's cache has shrunk at once
    overloaded,         ///< the endpoint refused a request
};

std::string_view to_string(cold_cause cause);

/// The number of the current warm-up. Work names the one in which it was dispatched.
using warm_up = std::uint64_t;

/// Starts at the cold limit and earns one more request in progress per so many completions, up to
/// the full limit. Falling back is immediate.
class concurrency_ramp {
public:
    /// \param enabled false only in tests: the limit is then always the full one.
    concurrency_ramp(config::limits limits, config::ramp policy, bool enabled = true);

    /// Requests that the endpoint may have in progress now.
    unsigned limit() const;
    unsigned full_limit() const { return full_; }
    bool is_full() const { return limit() == full_; }
    cold_cause last_cause() const { return last_cause_; }
    warm_up current() const { return current_; }

    /// Puts changed limits in force; what was earned stays.
    void set_policy(config::limits limits, config::ramp policy);

    /// A request that was dispatched in `dispatched_in` succeeded. One from before the last fall
    /// back earns nothing: it says nothing of the endpoint as it is now.
    void on_completed(warm_up dispatched_in);

    /// Returns to the cold limit and begins another warm-up.
    void fall_back(cold_cause cause);

    /// While the endpoint reports itself cold nothing is earned.
    /// \returns whether this fell back.
    bool set_reported_cold(bool cold);

private:
    unsigned full_;
    config::ramp policy_;
    bool enabled_;
    bool reported_cold_{false};
    unsigned earned_{0};
    unsigned completions_{0};
    warm_up current_{1};
    cold_cause last_cause_{cold_cause::started};
};

} // namespace boragefront::admission
