/// \file
#include "execution/idempotent_stage.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::execution {
namespace {

constexpr milliseconds initial_backoff{10};

// The first retry is immediate; the delay before later ones doubles each time.
duration backoff_before(std::size_t attempt) {
    return attempt <= 1 ? duration{0} : duration{initial_backoff} * (1U << (attempt - 2));
}

} // namespace

bool is_retryable(const error& failure) {
    switch (failure.kind) {
    case error_kind::over_limit:
    case error_kind::shutting_down:
    case error_kind::not_ready:
    case error_kind::wrong_incarnation:
    case error_kind::not_run:
    case error_kind::stage_failed:
    case error_kind::incomplete_answer:
    case error_kind::connect_failed:
    case error_kind::connection_lost:
    case error_kind::unavailable:
        return true;
    default:
        return false;
    }
}

work_ran combined(work_ran left, work_ran right) {
    if (left == work_ran::yes || right == work_ran::yes) {
        return work_ran::yes;
    }
    return left == work_ran::no && right == work_ran::no ? work_ran::no : work_ran::unknown;
}

bool is_budget_exempt(const error& failure) {
    return failure.kind == error_kind::shutting_down ||
           failure.kind == error_kind::wrong_incarnation ||
           failure.kind == error_kind::connect_failed || failure.kind == error_kind::not_ready;
}

idempotent_step idempotent_stage::next(time_point now, stage_budgets& budgets) {
    if (winner_) {
        return use_result{*winner_};
    }
    if (now >= limits_.deadline) {
        auto end = give_up_with(make_error(error_kind::expired, "no result before the deadline"));
        if (end.failure.ran != work_ran::no) {
            end.failure.kind = error_kind::deadline_exceeded;
        }
        return end;
    }
    if (attempts_.empty()) {
        return launch(attempt_reason::first, now);
    }
    if (running() == 0) {
        return after_failure(now, budgets);
    }
    if (const auto hedge = hedge_if_due(now, budgets)) {
        return *hedge;
    }
    if (const auto retry = retry_if_stalled(now, budgets)) {
        return *retry;
    }
    return wait_until{next_event()};
}

void idempotent_stage::on_sent(unsigned attempt) {
    attempts_.at(attempt).ran = work_ran::unknown;
}

bool idempotent_stage::on_success(unsigned attempt) {
    auto& record = attempts_.at(attempt);
    if (winner_ || record.state != attempt_state::running) {
        return false;
    }
    record.state = attempt_state::succeeded;
    winner_ = attempt;
    return true;
}

void idempotent_stage::on_failure(unsigned attempt, error failure, time_point now) {
    auto& record = attempts_.at(attempt);
    if (record.state != attempt_state::running) {
        return;
    }
    record.state = attempt_state::failed;
    record.ran = failure.ran;
    exhausted_ = exhausted_ || failure.kind == error_kind::no_endpoint;
    if (!last_failure_ || failure.kind != error_kind::no_endpoint) {
        last_failure_ = std::move(failure);
    }
    retry_at_ = now + backoff_before(attempts_.size());
    retry_granted_ = false;
}

give_up idempotent_stage::give_up_with(error failure) const {
    for (const auto& record : attempts_) {
        failure.ran = combined(failure.ran, record.ran);
    }
    return {std::move(failure)};
}

unsigned idempotent_stage::running() const {
    return static_cast<unsigned>(
        std::count_if(attempts_.begin(), attempts_.end(),
                      [](const auto& record) { return record.state == attempt_state::running; }));
}

launch_attempt idempotent_stage::launch(attempt_reason reason, time_point now) {
    const auto number = static_cast<unsigned>(attempts_.size());
    attempts_.push_back({attempt_state::running, reason, now, false, work_ran::no});
    return {number, reason};
}

idempotent_step idempotent_stage::after_failure(time_point now, stage_budgets& budgets) {
    const auto& failure = *last_failure_;
    if (exhausted_ || !may_launch() || !is_retryable(failure)) {
        return give_up_with(failure);
    }
    if (!retry_granted_) {
        retry_granted_ = is_budget_exempt(failure) || budgets.retries.try_withdraw();
        if (!retry_granted_) {
            return give_up_with(failure);
        }
    }
    if (now < retry_at_) {
        return wait_until{std::min(retry_at_, limits_.deadline)};
    }
    return launch(attempt_reason::retry, now);
}

std::optional<launch_attempt> idempotent_stage::hedge_if_due(time_point now,
                                                             stage_budgets& budgets) {
    const bool due = limits_.hedge_after && !hedge_handled_ &&
                     now >= attempts_.front().launched_at + *limits_.hedge_after;
    if (!due) {
        return std::nullopt;
    }
    hedge_handled_ = true;
    if (!may_launch() || !budgets.hedges.try_withdraw()) {
        return std::nullopt;
    }
    return launch(attempt_reason::hedge, now);
}

std::optional<launch_attempt> idempotent_stage::retry_if_stalled(time_point now,
                                                                 stage_budgets& budgets) {
    auto& last = attempts_.back();
    const bool stalled = last.state == attempt_state::running && !last.stall_handled &&
                         now >= last.launched_at + limits_.stall_after;
    if (!stalled) {
        return std::nullopt;
    }
    last.stall_handled = true;
    if (!may_launch() || !budgets.retries.try_withdraw()) {
        return std::nullopt;
    }
    return launch(attempt_reason::retry, now);
}

time_point idempotent_stage::next_event() const {
    auto at = limits_.deadline;
    if (limits_.hedge_after && !hedge_handled_) {
        at = std::min(at, attempts_.front().launched_at + *limits_.hedge_after);
    }
    const auto& last = attempts_.back();
    if (last.state == attempt_state::running && !last.stall_handled) {
        at = std::min(at, last.launched_at + limits_.stall_after);
    }
    return at;
}

} // namespace boragefront::execution
