/// \file
/// Work that is not idempotent: one sidecar at a time, and another only after a recorded `not_run`.
/// A pure state machine; its owner sends what it asks for and reports what came of it.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace boragefront::execution {

/// The limits of one run.
struct at_most_once_limits {
    unsigned max_attempts{3};
    time_point deadline;
};

/// Send this attempt to one sidecar.
struct send_work {
    unsigned attempt{0};
};

/// Ask the sidecar of this attempt, in the incarnation that it was sent to and over a fresh
/// connection, what became of it. Not before `at`.
struct ask_outcome {
    unsigned attempt{0};
    time_point at;
};

/// The work ran and its result is there.
struct use_outcome {};

/// Answer with this error, whose `ran` is true.
struct report_failure {
    error failure;
};

using at_most_once_step = std::variant<send_work, ask_outcome, use_outcome, report_failure>;

/// What is known of an attempt after an exchange.
enum class attempt_knowledge : std::uint8_t {
    result,  ///< its result is there
    not_run, ///< nothing was sent, or the sidecar recorded that it never runs
    failed,  ///< it ran and failed
    lost,    ///< it may have run
};

/// Where an error was made.
enum class failure_origin : std::uint8_t {
    sidecar,  ///< the sidecar that the attempt was sent to answered it, for this attempt
    exchange, ///< this process: the exchange itself failed
};

/// What a failed exchange tells of an attempt.
attempt_knowledge knowledge_of(const error& failure);

/// Decides what is sent when. No attempt follows one that may have run.
class at_most_once {
public:
    explicit at_most_once(at_most_once_limits limits) : limits_{limits} {}

    /// The next thing to do. A `send_work` counts as sent.
    at_most_once_step next(time_point now);

    /// The result of the attempt in progress is there.
    void on_result();

    /// An exchange about the attempt in progress failed, be it the work itself or a question for
    /// its outcome. A question that failed on its way tells nothing of the work.
    void on_failure(error failure, failure_origin origin, time_point now);

    /// No sidecar can be chosen for the attempt that was asked for; nothing was sent.
    void on_no_endpoint(error failure);

private:
    enum class phase : std::uint8_t { idle, sent, resolving, finished, failed };

    at_most_once_limits limits_;
    phase phase_{phase::idle};
    unsigned attempts_{0};
    unsigned questions_{0};
    time_point ask_at_{};
    std::optional<error> failure_;
};

} // namespace boragefront::execution
