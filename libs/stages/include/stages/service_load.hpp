/// \file
/// Load of a stage service: the work that arrived, compared with what the service can process.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string_view>

namespace boragefront::stages {

/// Work that arrived within a period.
struct arrived_work {
    double pieces{0};
    /// Standard deviation of `pieces` if groups arrive independently of each other.
    double deviation{0};
};

/// Counts the pieces that arrived over the last seconds. Its size does not depend on their number.
/// Reads no clock.
class arrival_estimator {
public:
    static constexpr milliseconds max_period{5'000};

    /// Records the arrival of a group. Times must not decrease.
    void record(std::size_t pieces, int priority, time_point now);

    /// Returns the work that arrived within `period` before now, to 100 ms.
    /// \param period at most `max_period`
    arrived_work arrived(milliseconds period, time_point now) const;

    /// Returns the pieces per second that arrived over `max_period` with a priority more urgent
    /// than this one. Over less time if the first arrival was recorded later, but at least 2 s.
    double rate_before(int priority, time_point now) const;

private:
    struct interval {
        time_point begins{};
        double squares{0}; // sum of the squares of the group sizes
        std::map<int, double> pieces_of_priority{};
    };
    std::deque<interval> intervals_;
    std::optional<time_point> first_arrival_;
};

/// Measures how much a service processes while enough work waits to keep it busy. That is less than
/// the endpoints could process if results take up their memory, or if another queue uses them.
/// Reads no clock.
class throughput_estimator {
public:
    /// Records whether work that fills a call is left waiting after all possible calls started.
    void record_backlog(bool backlogged, time_point now);

    /// Records completed pieces.
    void record_completed(std::size_t pieces, time_point now);

    /// Forgets what was measured, as the endpoints have changed.
    void reset();

    /// Returns the pieces per second that were completed while work was waiting without
    /// interruption: over the last seconds, without the first call. Empty if that is not long
    /// enough.
    std::optional<double> pieces_per_second(milliseconds full_call, time_point now) const;

private:
    arrival_estimator completed_;
    std::optional<time_point> backlogged_since_;
};

/// Load of a service at one moment.
struct service_load {
    /// Period over which a lasting overload is told from a burst of 1.5 s.
    static constexpr milliseconds lasting_period{arrival_estimator::max_period};
    /// Period that tells whether an overload is still going on.
    static constexpr milliseconds recent_period{1'000};

    double pieces_per_second{0}; ///< processed in full calls; above 0
    std::size_t waiting{0};      ///< pieces
    arrived_work lasting;        ///< over `lasting_period`
    arrived_work recent;         ///< over `recent_period`

    /// Whether more work arrived over `lasting_period` than the service can process in that time,
    /// by more than random arrivals explain.
    bool is_overloaded() const;

    /// Whether the waiting work can be processed within a time, besides the work that arrives
    /// meanwhile at the recent rate.
    bool can_process_waiting(duration time) const;

    /// Whether this number of pieces can be processed within a time, besides more urgent work.
    /// \param urgent_rate pieces of the more urgent work that arrive per second
    bool can_process_besides(double urgent_rate, std::size_t pieces, duration time) const;

    /// Returns the time until the work that arrived beyond the capacity has been processed.
    milliseconds time_to_process_excess() const;
};

/// Returns the time after which a refused caller is told to retry: at least `room_expected_in` and
/// one call, at most twice that and 5 s. Spread by request, so that callers that were refused
/// together do not return together.
/// \param room_expected_in time until the service can accept the work
/// \param full_call duration of a full call
milliseconds spread_retry_after(milliseconds room_expected_in, milliseconds full_call,
                                std::string_view request_id);

} // namespace boragefront::stages
