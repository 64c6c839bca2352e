/// \file
/// One idempotent stage of one request: retries, hedges and the first result that wins. A pure
/// state machine; its owner sends and cancels what it asks for.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "execution/attempt_budget.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace boragefront::execution {

/// Why an attempt is made.
enum class attempt_reason : std::uint8_t { first, retry, hedge };

/// The limits of one stage of one request.
struct idempotent_limits {
    unsigned max_attempts{3};
    std::optional<duration> hedge_after; ///< nothing: no hedge
    duration stall_after{0};             ///< an attempt without an answer for so long has stalled
    time_point deadline;
};

/// Send this attempt now, at an endpoint that no earlier one went to if there is one.
struct launch_attempt {
    unsigned attempt{0};
    attempt_reason reason{attempt_reason::first};
};

/// Do nothing before this time unless an attempt ends.
struct wait_until {
    time_point at;
};

/// Use the result of this attempt; cancel all others.
struct use_result {
    unsigned attempt{0};
};

/// Answer with this error, whose `ran` covers all attempts; cancel those that run.
struct give_up {
    error failure;
};

using idempotent_step = std::variant<launch_attempt, wait_until, use_result, give_up>;

/// What became of an attempt.
enum class attempt_state : std::uint8_t { running, succeeded, failed };

/// Decides what is sent when. The first result wins and stays the winner.
class idempotent_stage {
public:
    explicit idempotent_stage(idempotent_limits limits) : limits_{limits} {}

    /// The next thing to do. A `launch_attempt` counts as sent.
    /// \param budgets grants extra attempts; spent from by this call.
    idempotent_step next(time_point now, stage_budgets& budgets);

    /// The attempt is about to be sent; from now on it may run.
    void on_sent(unsigned attempt);

    /// The attempt has its whole result, or the first token of its stream.
    /// \returns whether it is the winner; a result that is not is dropped.
    bool on_success(unsigned attempt);

    /// The attempt ended without a result.
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
    bool exhausted_{false}; // no endpoint was left to choose
};

/// What is known of work made up of two parts: `no` only if neither ran.
work_ran joined(work_ran left, work_ran right);

/// Whether another endpoint may do better after this error of idempotent work.
bool is_worth_retrying(const error& failure);

/// Whether the error cost no endpoint anything and tells that this sidecar takes no work; trying
/// elsewhere then needs no budget.
bool is_redirect(const error& failure);

} // namespace boragefront::execution
