/// \file
/// Limits the retries to one service across all entries, without coordination.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>

namespace boragefront::balancing {

/// Number of retries that all entries together may send in any window.
struct retry_limit {
    double ratio{0.2}; ///< of retries to requests
    double slack{0};   ///< retries in addition to the ratio
    milliseconds window{10'000};
};

/// This entry's share of the budget of one service.
class retry_budget {
public:
    /// The budget of an entry that has run for longer than any window.
    retry_budget() = default;

    /// \param started_at start of the process. Retries sent before a restart are not known, so its
    /// share of the slack accrues over the first window.
    static retry_budget make(time_point started_at);

    /// Records the first attempt of a request.
    void record_request(time_point now);

    /// Returns whether `try_consume` would succeed now.
    bool allows_retry(const retry_limit& limit, std::size_t entries, time_point now) const;

    /// Consumes one retry from the budget.
    /// \param entries number of entries among which the slack is divided.
    /// \returns false if the budget is exhausted.
    bool try_consume(const retry_limit& limit, std::size_t entries, time_point now);

private:
    struct time_slot {
        time_point begins;
        std::size_t requests{0};
        std::size_t retries{0};
    };
    time_slot& slot_at(time_point now);
    void expire_slots(time_point horizon);
    double accrued_share(const retry_limit& limit, time_point now) const;

    time_point started_at_{};
    std::deque<time_slot> slots_;
};

} // namespace boragefront::balancing
