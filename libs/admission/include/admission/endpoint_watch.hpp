/// \file
/// What is known of the endpoint's life: whether it answers, which life it is in, its cache.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace boragefront::admission {

struct endpoint_watch_policy {
    milliseconds contact_age{500};       ///< not heard from this long, an endpoint may be cold
    milliseconds contact_timeout{2'000}; ///< not heard from this long, it is unreachable
};

/// What an answer says of the life of the endpoint that gave it.
enum class endpoint_life : std::uint8_t {
    current, ///< the known one, or the first
    renewed, ///< the endpoint has restarted
    past,    ///< an answer from before a restart
};

/// Follows one endpoint by its answers and its load reports.
class endpoint_watch {
public:
    endpoint_watch(endpoint_watch_policy policy, time_point now)
        : policy_{policy}, last_contact_{now} {}

    /// The endpoint answered a call.
    void on_contact(time_point now) { last_contact_ = now; }

    /// The endpoint answered a request for its load.
    void on_report(time_point now);

    /// A request for the load failed.
    /// \param refused whether the endpoint refuses connections, as one that is restarting.
    /// \returns whether the endpoint has now become unreachable.
    bool on_report_failure(bool refused, time_point now);

    /// A call could not connect.
    void on_refused_call() { reachable_ = false; }

    /// An answer named its life.
    endpoint_life note_life(const std::string& life);

    /// The number of cached prefixes that a report of the current life gives.
    /// \returns whether the cache was lost since the last one.
    bool note_cache(std::size_t prefixes);

    bool is_reachable() const { return reachable_; }
    bool heard_lately(time_point now) const { return now - last_contact_ <= policy_.contact_age; }
    const std::string& life() const { return life_; }

private:
    endpoint_watch_policy policy_;
    bool reachable_{false};
    time_point last_contact_;
    unsigned failures_{0};
    std::string life_;
    std::deque<std::string> past_lives_; ///< oldest first
    std::size_t cached_prefixes_{0};
};

} // namespace boragefront::admission
