/// \file
/// Admission of requests by an entry that is shutting down.
#pragma once

#include "base/time.hpp"

namespace boragefront::gateway {

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

    /// When responses in progress are cut off.
    time_point exit_at() const { return exit_at_; }

    /// Whether to accept a request.
    /// \param max_duration the longest time that the request may take
    bool accepts(milliseconds max_duration, time_point now) const;

    /// How long a refused caller should wait before it retries.
    /// \param other_entry_serves whether another entry would accept the request now. If not, the
    /// result is the time until this entry's successor should be serving.
    milliseconds retry_after(bool other_entry_serves, time_point now) const;

private:
    time_point accepts_all_until_{};
    time_point withdrawn_at_{};
    time_point exit_at_{};
};

} // namespace boragefront::gateway
