/// \file
/// Execution of non-idempotent work: one sidecar at a time, and another one only after the first
/// has recorded `not_run`. A pure state machine: the owner performs the steps it returns and
/// reports the results.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace boragefront::execution {

/// Limits of one execution.
struct at_most_once_limits {
    unsigned max_attempts{3};
    time_point deadline;
};

/// Send this attempt to one sidecar.
struct send_work {
    unsigned attempt{0};
};

/// Query the outcome of this attempt from the sidecar incarnation it was sent to, over a new
/// connection and not before `at`.
struct query_outcome {
    unsigned attempt{0};
    time_point at;
};

/// The work ran and its result is available.
struct use_outcome {};

/// Answer with this error; its `ran` states correctly whether the work ran.
struct report_failure {
    error failure;
};

using at_most_once_step = std::variant<send_work, query_outcome, use_outcome, report_failure>;

/// What is known about an attempt after an exchange.
enum class attempt_status : std::uint8_t {
    result,  ///< its result is available
    not_run, ///< nothing was sent, or the sidecar recorded that it will not run
    failed,  ///< the work ran and failed
    unknown, ///< the work may have run
};

/// Where an error originated.
enum class failure_origin : std::uint8_t {
    sidecar,  ///< the sidecar returned it in its answer for this attempt
    exchange, ///< this process: the exchange with the sidecar failed
};

/// What a failed exchange implies for the attempt.
attempt_status status_of(const error& failure);

/// Decides when to send an attempt. No attempt follows one that may have run.
class at_most_once {
public:
    explicit at_most_once(at_most_once_limits limits) : limits_{limits} {}

    /// The next step. A returned `send_work` counts as sent.
    at_most_once_step next(time_point now);

    /// Called when the result of the attempt in progress has arrived.
    void on_result();

    /// Called when an exchange for the attempt in progress failed: the work itself or a query for
    /// its outcome. A query that fails in transit says nothing about the work.
    void on_failure(error failure, failure_origin origin, time_point now);

    /// Called when no sidecar is available for the requested attempt; nothing was sent.
    void on_no_endpoint(error failure);

private:
    enum class phase : std::uint8_t { idle, sent, resolving, finished, failed };

    at_most_once_limits limits_;
    phase phase_{phase::idle};
    unsigned attempts_{0};
    unsigned queries_{0};
    time_point query_at_{};
    std::optional<error> failure_;
};

} // namespace boragefront::execution
