/// \file
/// What an entry that is about to stop still takes.
#pragma once

#include "base/time.hpp"

namespace boragefront::gateway {

/// The time table of one graceful shutdown. The balancer may still send requests to an entry that
/// has withdrawn, when no other entry of its data centre serves; so it listens to its end, and
/// takes what it can answer by then.
class drain_plan {
public:
    /// \param begins when the shutdown was asked for.
    /// \param grace until the process is killed.
    static drain_plan make(time_point begins, milliseconds grace);

    /// When the balancer has noticed that this entry is not ready; it may exit from then on.
    time_point withdrawn_at() const { return withdrawn_at_; }

    /// When answers that are not finished are cut.
    time_point exit_at() const { return exit_at_; }

    /// Whether to take a request.
    /// \param longest the longest that it may take
    bool takes(milliseconds longest, time_point now) const;

    /// When a caller that is refused should come back.
    /// \param others_serve whether another entry would take the request now; else it is told when
    /// this entry's successor should serve
    milliseconds retry_after(bool others_serve, time_point now) const;

private:
    time_point takes_all_until_{};
    time_point withdrawn_at_{};
    time_point exit_at_{};
};

} // namespace boragefront::gateway
