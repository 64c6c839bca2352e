/// \file
/// Execution of one idempotent stage of a request, with retries and hedges; the first result wins.
/// A pure state machine: the owner sends and cancels attempts as it directs.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "execution/attempt_budget.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace boragefront::execution {

/// Why an attempt is sent.
enum class attempt_reason : std::uint8_t { first, retry, hedge };

/// Limits for one stage of one request.
struct idempotent_limits {
    unsigned max_attempts{3};
    std::optional<duration> hedge_after; ///< no hedge if empty
    duration stall_after{0};             ///< an attempt stalls after this time without an answer
    time_point deadline;
};

/// Send this attempt now, preferably to an endpoint that no earlier attempt used.
struct launch_attempt {
    unsigned attempt{0};
    attempt_reason reason{attempt_reason::first};
};

/// Wait until this time or until an attempt ends.
struct wait_until {
    time_point at;
};

/// Use the result of this attempt and cancel all others.
struct use_result {
    unsigned attempt{0};
};

/// Answer with this error, whose `ran` covers all attempts, and cancel those still running.
struct give_up {
    error failure;
};

using idempotent_step = std::variant<launch_attempt, wait_until, use_result, give_up>;

/// State of an attempt.
enum class attempt_state : std::uint8_t { running, succeeded, failed };

/// Decides when to send attempts. The first result wins; later results are discarded.
class idempotent_stage {
public:
    explicit idempotent_stage(idempotent_limits limits) : limits_{limits} {}

    /// The next step. A returned `launch_attempt` counts as launched.
    /// \param budgets retry and hedge budgets; extra attempts are withdrawn from them.
    idempotent_step next(time_point now, stage_budgets& budgets);

    /// Called when the attempt is about to be sent; from now on its work may run.
    void on_sent(unsigned attempt);

    /// Called when the complete result of the attempt, or the first token of its stream, has
    /// arrived.
    /// \returns whether the attempt is the winner; otherwise its result must be discarded.
    bool on_success(unsigned attempt);

    /// Called when the attempt ended without a result.
    void on_failure(unsigned attempt, error failure, time_point now);

    std::optional<unsigned> winner() const { return winner_; }

private:
    give_up give_up_with(error failure) const;
    struct attempt_record {
        attempt_state state{attempt_state::running};
        attempt_reason reason{attempt_reason::first};
        time_point launched_at;
        bool stall_handled{false};
        work_ran ran{work_ran::no};
    };

    unsigned running() const;
    bool may_launch() const { return attempts_.size() < limits_.max_attempts; }
    launch_attempt launch(attempt_reason reason, time_point now);
    idempotent_step after_failure(time_point now, stage_budgets& budgets);
    std::optional<launch_attempt> hedge_if_due(time_point now, stage_budgets& budgets);
    std::optional<launch_attempt> retry_if_stalled(time_point now, stage_budgets& budgets);
    time_point next_event() const;

    idempotent_limits limits_;
    std::vector<attempt_record> attempts_;
    std::optional<unsigned> winner_;
    std::optional<error> last_failure_;
    time_point retry_at_{};
    bool retry_granted_{false};
    bool hedge_handled_{false};
    bool exhausted_{false}; // no further endpoint was available
};

/// Combines the execution states of two parts of the work: `no` only if neither ran.
work_ran combined(work_ran left, work_ran right);

/// Whether idempotent work that failed with this error may succeed at another endpoint.
bool is_retryable(const error& failure);

/// Whether a retry after this error is exempt from the retry budget: the sidecar does not accept
/// work and no endpoint did any.
bool is_budget_exempt(const error& failure);

} // namespace boragefront::execution
