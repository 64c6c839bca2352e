/// \file
/// Tracks the reachability, the restarts and the cache size of an endpoint.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace boragefront::admission {

struct endpoint_monitor_policy {
    milliseconds contact_age{500};       ///< after this time without contact it may be cold
    milliseconds contact_timeout{2'000}; ///< after this time without contact it is unreachable
};

/// Relation of the incarnation named in an answer to the known one.
enum class endpoint_incarnation : std::uint8_t {
    current,   ///< the known incarnation, or the first one seen
    restarted, ///< a new incarnation: the endpoint has restarted
    stale,     ///< an earlier incarnation: the answer predates a restart
};

/// Tracks the state of one endpoint from its answers and load reports.
class endpoint_monitor {
public:
    endpoint_monitor(endpoint_monitor_policy policy, time_point now)
        : policy_{policy}, last_contact_{now} {}

    /// Called when the endpoint answered a call.
    void on_contact(time_point now) { last_contact_ = now; }

    /// Called when the endpoint answered a load request.
    void on_report(time_point now);

    /// Called when a load request failed.
    /// \param refused whether the connection was refused, as it is during a restart.
    /// \returns whether this failure made the endpoint unreachable.
    bool on_report_failure(bool refused, time_point now);

    /// Called when a call could not connect.
    void on_connect_failure() { reachable_ = false; }

    /// Records the incarnation named in an answer; an empty one counts as current.
    endpoint_incarnation note_incarnation(const std::string& reported);

    /// Records the number of cached prefixes reported by the current incarnation.
    /// \returns whether the cache was lost since the previous report.
    bool note_cached_prefixes(std::size_t prefixes);

    bool is_reachable() const { return reachable_; }
    bool contacted_recently(time_point now) const {
        return now - last_contact_ <= policy_.contact_age;
    }
    const std::string& incarnation() const { return incarnation_; }

private:
    endpoint_monitor_policy policy_;
    bool reachable_{false};
    time_point last_contact_;
    unsigned failures_{0};
    std::string incarnation_;
    std::deque<std::string> past_incarnations_; ///< oldest first
    std::size_t cached_prefixes_{0};
};

} // namespace boragefront::admission
