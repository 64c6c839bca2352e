/// \file
/// Accounts for endpoint slots that may be occupied by work whose result is no longer awaited.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>

namespace boragefront::admission {

struct abandoned_work_policy {
    milliseconds report_lag{1'000};  ///< maximum age of the state that a load report describes
    milliseconds cancel_latency{50}; ///< time within which the endpoint detects a cancelled call
    unsigned confirming_reports{3};  ///< reports that must show a slot free before it is released
    bool enabled{true};              ///< false only in tests: no slots are held
};

/// Upper bound on the endpoint slots occupied by abandoned work: calls that timed out, and work
/// dispatched by a previous process of this sidecar. A slot is held until enough load reports, all
/// recent enough to reflect it, show it free.
class abandoned_work {
public:
    explicit abandoned_work(abandoned_work_policy policy = {}) : policy_{policy} {}

    /// Holds slots for work that a previous sidecar process may have left running.
    /// \param slots number of slots to hold.
    void assume_predecessor(std::size_t slots, time_point now);

    /// Records a call that was given up without an answer.
    void add(time_point now);

    /// Records a call that was cancelled by closing its connection.
    void add_cancelled(time_point now);

    /// Releases all slots; called when the endpoint has restarted.
    void clear();

    /// Records the number of calls that this sidecar has in progress. Called after every change.
    void set_own_running(std::size_t running, time_point now);

    /// Processes a load report.
    /// \param reported requests in progress at the endpoint, from all sources.
    void on_report(std::size_t reported, time_point now);

    /// Number of slots held.
    std::size_t held(time_point now) const;

private:
    struct own_sample {
        time_point at;
        std::size_t running{0};
    };
    std::size_t min_own_running_since(time_point since) const;

    abandoned_work_policy policy_;
    std::deque<time_point> abandoned_; ///< oldest first
    std::deque<time_point> cancelled_; ///< oldest first
    std::deque<own_sample> own_;       ///< oldest first; each is valid until the next
    std::size_t max_other_running_{0}; ///< over the reports counted by `reports_`
    unsigned reports_{0};              ///< reports received towards `confirming_reports`
};

} // namespace boragefront::admission
