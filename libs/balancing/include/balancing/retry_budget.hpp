/// \file
/// Bounds repeated sends to one service, over all entries, without coordination.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>

namespace boragefront::balancing {

/// What all entries together may repeat in any window.
struct retry_limit {
    double ratio{0.2}; ///< of the requests
    double slack{0};   ///< repeats beyond the ratio
    milliseconds window{10'000};
};

/// This entry's share of the budget of one service.
class retry_budget {
public:
    /// Counts a request's first send.
    void record_request(time_point now);

    /// Whether `take` would succeed now.
    bool allows_retry(const retry_limit& limit, std::size_t entries, time_point now) const;

    /// Takes one repeat from the budget.
    /// \param entries among which the slack is divided.
    /// \returns whether there was one.
    bool try_consume(const retry_limit& limit, std::size_t entries, time_point now);

private:
    struct slot {
        time_point begins;
        std::size_t requests{0};
        std::size_t repeats{0};
    };
    slot& slot_at(time_point now);
    void forget(time_point horizon);

    std::deque<slot> slots_;
};

} // namespace boragefront::balancing
