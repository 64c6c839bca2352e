/// \file
/// Error kinds, and the HTTP response that each kind maps to.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront {

/// Errors of requests, messages and settings.
enum class error_kind : std::uint8_t {
    bad_request,       ///< malformed or invalid input; `field` is its path
    too_large,         ///< input exceeds a size limit
    header_too_large,  ///< a request's header exceeds its size limit
    request_timeout,   ///< a request was not fully received within its time-out
    unauthorized,      ///< the request carries no known API key
    unknown_service,   ///< no such service in the active configuration
    unknown_workspace, ///< no such workspace in the active configuration
    over_limit,        ///< rejected by a rate, concurrency or queue limit
    shutting_down,     ///< the process is draining, or its data centre or endpoint is disabled
    not_ready,         ///< the process has not received the state that its decisions need
    wrong_incarnation, ///< the request named an earlier incarnation of the sidecar
    expired,           ///< the deadline passed before the work was dispatched
    deadline_exceeded, ///< the deadline passed after the work may have been dispatched
    not_run,           ///< recorded as rejected: work with this id is never executed
    outcome_unknown,   ///< the outcome of a non-idempotent request cannot be determined
    stage_failed,      ///< an endpoint returned an error
    incomplete_answer, ///< a response or stream ended before its explicit end
    no_endpoint,       ///< no endpoint is eligible at present
    quarantined,       ///< requests like this one crashed the endpoints that processed them
    no_capacity,       ///< the queued work would take longer than the request's remaining time
    connect_failed,    ///< the peer could not be reached; nothing was sent
    connection_lost,   ///< the connection closed after data may have been sent
    cancelled,         ///< the attempt was cancelled by its owner
    conflict,          ///< the idempotency key was already used with a different request
    unavailable,       ///< a peer or the platform reported that it cannot serve now
    internal,          ///< a precondition was violated inside this process
};

/// Whether the work that an error refers to was executed.
enum class work_ran : std::uint8_t { no, yes, unknown };

/// What callers are told about errors of one kind.
struct error_properties {
    error_kind kind;
    std::string_view name;  ///< value of `kind` in the problem document
    unsigned http_status;   ///< status code of the HTTP response
    work_ran ran;           ///< default for errors of this kind
    bool may_retry;         ///< whether the caller may send the same request again
    std::string_view title; ///< human-readable summary in one sentence
};

const error_properties& properties_of(error_kind kind);

/// Looks up an error kind by its name in problem documents.
/// \returns `std::nullopt` if no kind has this name.
std::optional<error_kind> parse_error_kind(std::string_view name);

std::string_view to_string(work_ran ran);

/// The inverse of `to_string`; unrecognised text gives `unknown`.
work_ran parse_work_ran(std::string_view name);

/// An error with its context.
struct error {
    error_kind kind{error_kind::internal};
    std::string detail;              ///< what was found and what is expected
    std::string field;               ///< path of the offending field; empty if there is none
    work_ran ran{work_ran::unknown}; ///< whether the work was executed
};

/// Makes an error with the default `ran` of `kind`.
error make_error(error_kind kind, std::string detail, std::string field = {});

/// Makes an error with an explicit `ran`.
error make_error(error_kind kind, work_ran ran, std::string detail);

/// `kind: field: detail`, for logs and standard error.
std::string to_string(const error& failure);

/// The `application/problem+json` document for an error.
/// \param request_id ID of the request; omitted if empty.
std::string to_problem_json(const error& failure, std::string_view request_id = {});

/// Parses a document written by `to_problem_json`.
/// \returns `std::nullopt` if `text` is not such a document.
std::optional<error> from_problem_json(std::string_view text);

/// A value or an error; accessing the alternative that it does not hold terminates the process.
template <class T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// The success value of a function that returns `result<void>`.
inline auto success() {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace boragefront
