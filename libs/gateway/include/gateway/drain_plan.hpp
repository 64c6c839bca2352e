/// \file
/// Admission of requests by an entry that is shutting down.
#pragma once

#include "base/time.hpp"

#include <optional>

namespace boragefront::gateway {

/// How long a request may take.
struct request_durations {
    milliseconds limit{0}; ///< until its deadline; it has ended by then
    /// The longest that a request of its route took recently; empty if none was answered.
    std::optional<milliseconds> longest_recent{};
};

/// The schedule of one graceful shutdown. If no other entry of the data centre is serving, the load
/// balancer may still send requests to an entry that is not ready. The entry therefore listens
/// until it exits, and accepts the requests that it can answer by then.
class drain_plan {
public:
    /// \param started_at when the shutdown was requested
    /// \param grace time from then until the platform kills the process
    static drain_plan make(time_point started_at, milliseconds grace);

    /// When the load balancer has detected that this entry is not ready. It may exit from then on.
    time_point withdrawn_at() const { return withdrawn_at_; }

    /// When requests in progress are ended.
    time_point exit_at() const { return exit_at_; }

    /// When the entry exits even if an answer has not been written.
    time_point answered_by() const { return answered_by_; }

    /// Whether to accept a request. One that may outlast the exit is accepted only initially, while
    /// most callers still come here. One that may not be repeated must then be likely to end long
    /// before the exit, unless there is no other entry to go to: cutting it costs its caller more
    /// than a refusal.
    /// \param may_repeat whether the caller can repeat or resume the request if it is cut
    /// \param other_entry_serves whether another entry would accept the request now
    bool accepts(const request_durations& durations, bool may_repeat, bool other_entry_serves,
                 time_point now) const;

    /// Whether an accepted request can still be sent to an endpoint, and be answered by the exit.
    /// \param limit time until the request's deadline
    /// \param typical_latency of the service; empty if unknown
    bool may_send(milliseconds limit, std::optional<milliseconds> typical_latency,
                  time_point now) const;

    /// How long a refused caller should wait before it retries.
    /// \param other_entry_serves whether another entry would accept the request now. If not, the
    /// result is the time until this entry's successor should be serving.
    milliseconds retry_after(bool other_entry_serves, time_point now) const;

private:
    time_point initial_period_ends_at_{};
    time_point withdrawn_at_{};
    time_point exit_at_{};
    time_point answered_by_{};
};

} // namespace boragefront::gateway
