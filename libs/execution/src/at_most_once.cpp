/// \file
#include "execution/at_most_once.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::execution {
namespace {

constexpr milliseconds initial_backoff{10};
constexpr unsigned max_doublings = 5;

duration backoff_before(unsigned query) {
    return query == 0 ? duration{0}
                      : duration{initial_backoff} * (1U << std::min(query - 1, max_doublings));
}

// Errors for which every sidecar would give the same answer.
bool is_final(const error& failure) {
    return failure.kind == error_kind::bad_request || failure.kind == error_kind::too_large ||
           failure.kind == error_kind::conflict || failure.kind == error_kind::expired;
}

error unknown_outcome(std::string detail) {
    return make_error(error_kind::outcome_unknown, work_ran::unknown, std::move(detail));
}

} // namespace

attempt_status status_of(const error& failure) {
    switch (failure.ran) {
    case work_ran::no:
        return attempt_status::not_run;
    case work_ran::yes:
        return attempt_status::failed;
    case work_ran::unknown:
        break;
    }
    return attempt_status::unknown;
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
            return report_failure{unknown_outcome("no answer before the deadline")};
        }
        return query_outcome{attempts_ - 1, query_at_};
    case phase::idle:
        break;
    }
    if (failure_ && (attempts_ >= limits_.max_attempts || now >= limits_.deadline)) {
        return report_failure{*failure_};
    }
    if (now >= limits_.deadline) {
        return report_failure{
            make_error(error_kind::expired, "the deadline passed before the work was sent")};
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
    switch (status_of(failure)) {
    case attempt_status::not_run:
        phase_ = is_final(failure) ? phase::failed : phase::idle;
        break;
    case attempt_status::unknown:
        phase_ = phase::resolving;
        if (failure.kind == error_kind::wrong_incarnation ||
            failure.kind == error_kind::outcome_unknown) {
            phase_ = phase::failed;
            failure = unknown_outcome(std::move(failure.detail));
        }
        query_at_ = now + backoff_before(queries_++);
        break;
    case attempt_status::result:
    case attempt_status::failed:
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
