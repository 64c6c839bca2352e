/// \file
/// Work that an endpoint may still be running although nobody here waits for it.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>

namespace boragefront::admission {

struct abandoned_work_policy {
    milliseconds report_lag{1'000}; ///< a load report may be this old
    milliseconds cancel_time{50};   ///< an endpoint notices a cancelled call within this
    unsigned agreeing_reports{3};   ///< reports that must show a slot free before it counts as such
    bool enabled{true};             ///< false only in tests: nothing is held
};

/// Bounds how many slots of the endpoint are taken by abandoned work: by calls given up at their
/// deadline, and by work of a predecessor in this sidecar's slot. A slot is held until load reports
/// that are late enough to show it agree that it is free.
class abandoned_work {
public:
    explicit abandoned_work(abandoned_work_policy policy = {}) : policy_{policy} {}

    /// The endpoint may run this much work of a predecessor.
    void assume_predecessor(std::size_t slots, time_point now);

    /// A call was given up without an answer.
    void add(time_point now);

    /// A call was cancelled by closing its connection.
    void add_cancelled(time_point now);

    /// The endpoint started anew; work of its earlier life is gone.
    void clear();

    /// How much work this sidecar has in progress, after each change.
    void note_own_running(std::size_t running, time_point now);

    /// A load report arrived.
    /// \param reported requests in progress at the endpoint, all of them.
    void on_report(std::size_t reported, time_point now);

    /// Slots that are held.
    std::size_t held(time_point now) const;

private:
    struct own_sample {
        time_point at;
        std::size_t running{0};
    };
    std::size_t least_own_since(time_point since) const;

    abandoned_work_policy policy_;
    std::deque<time_point> given_up_;  ///< oldest first
    std::deque<time_point> cancelled_; ///< oldest first
    std::deque<own_sample> own_;       ///< oldest first; each holds until the next
    std::size_t most_seen_{0};         ///< over the reports that count towards agreement
    unsigned reports_{0};
};

} // namespace boragefront::admission
