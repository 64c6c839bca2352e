/// \file
#include "execution/at_most_once.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::execution {
namespace {

constexpr milliseconds first_pause{10};
constexpr unsigned most_doublings = 5;

duration pause_before(unsigned question) {
    return question == 0 ? duration{0}
                         : duration{first_pause} * (1U << std::min(question - 1, most_doublings));
}

// Errors that no other sidecar would answer otherwise.
bool is_final(const error& failure) {
    return failure.kind == error_kind::bad_request || failure.kind == error_kind::too_large ||
           failure.kind == error_kind::conflict || failure.kind == error_kind::expired;
}

error unknown_outcome(std::string detail) {
    return make_error(error_kind::outcome_unknown, work_ran::unknown, std::move(detail));
}

} // namespace

attempt_knowledge knowledge_of(const error& failure) {
    switch (failure.ran) {
    case work_ran::no:
        return attempt_knowledge::not_run;
    case work_ran::yes:
        return attempt_knowledge::failed;
    case work_ran::unknown:
        break;
    }
    return attempt_knowledge::lost;
}

at_most_once_step at_most_once::next(time_point now) {
    switch (phase_) {
    case phase::finished:
        return use_outcome{};
    case phase::failed:
        return report_failure{*failure_};
    case phase::resolving:
    case phase::sent:
        if (now >= limits_.deadline) {
            return report_failure{unknown_outcome("no answer within the deadline")};
        }
        return ask_outcome{attempts_ - 1, ask_at_};
    case phase::idle:
        break;
    }
    if (failure_ && (attempts_ >= limits_.max_attempts || now >= limits_.deadline)) {
        return report_failure{*failure_};
    }
    if (now >= limits_.deadline) {
        return report_failure{make_error(error_kind::expired, "expired before it was sent")};
    }
    phase_ = phase::sent;
    return send_work{attempts_++};
}

void at_most_once::on_result() {
    phase_ = phase::finished;
}

void at_most_once::on_failure(error failure, failure_origin origin, time_point now) {
    if (phase_ == phase::resolving && origin == failure_origin::exchange) {
        failure.ran = work_ran::unknown;
    }
    switch (knowledge_of(failure)) {
    case attempt_knowledge::not_run:
        phase_ = is_final(failure) ? phase::failed : phase::idle;
        break;
    case attempt_knowledge::lost:
        phase_ = phase::resolving;
        if (failure.kind == error_kind::wrong_incarnation ||
            failure.kind == error_kind::outcome_unknown) {
            phase_ = phase::failed;
            failure = unknown_outcome(std::move(failure.detail));
        }
        ask_at_ = now + pause_before(questions_++);
        break;
    case attempt_knowledge::result:
    case attempt_knowledge::failed:
        phase_ = phase::failed;
        break;
    }
    failure_ = std::move(failure);
}

void at_most_once::on_no_endpoint(error failure) {
    phase_ = phase::failed;
    if (!failure_) {
        failure_ = std::move(failure);
    }
}

} // namespace boragefront::execution
