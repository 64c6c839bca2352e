/// \file
/// The closed list of error kinds and the table from each kind to the caller's answer.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront {

/// Everything that can go wrong with a request, a message or a setting.
enum class error_kind : std::uint8_t {
    bad_request,       ///< malformed or invalid input; `field` names the part
    too_large,         ///< input beyond a size limit
    header_too_large,  ///< a request header beyond its size limit
    request_timeout,   ///< a request did not arrive whole in time
    unauthorized,      ///< no known key came with the request
    unknown_service,   ///< no such service in the configuration in force
    unknown_workspace, ///< no such workspace in the configuration in force
    over_limit,        ///< a rate, concurrency or queue limit refused the work
    shutting_down,     ///< the process is draining, or its data centre or endpoint is out
    not_ready,         ///< the process has not yet learned what it needs to decide
    wrong_incarnation, ///< the request named an earlier incarnation of the sidecar
    expired,           ///< the deadline had passed before the work was dispatched
    deadline_exceeded, ///< the deadline passed after the work may have been dispatched
    not_run,           ///< recorded as refused: this identity never runs
    outcome_unknown,   ///< a non-idempotent request whose outcome cannot be learned
    stage_failed,      ///< an endpoint answered with a failure
    incomplete_answer, ///< an answer or stream ended before its explicit end
    no_endpoint,       ///< no endpoint can be chosen now
    no_capacity,       ///< the work ahead would take longer than the request has
    connect_failed,    ///< the peer could not be reached; nothing was sent
    connection_lost,   ///< the connection ended after something may have been sent
    cancelled,         ///< the attempt was cancelled by its owner
    conflict,          ///< the idempotency key was used before with another request
    unavailable,       ///< a peer or the platform answered that it cannot serve now
    internal,          ///< a broken precondition inside this process
};

/// Whether the work that an error answers for has run.
enum class work_ran : std::uint8_t { no, yes, unknown };

/// One row of the table from error kind to answer.
struct error_answer {
    error_kind kind;
    std::string_view name;  ///< the `kind` member of the problem document
    unsigned http_status;   ///< status of the HTTP answer
    work_ran ran;           ///< default for errors of this kind
    bool may_retry;         ///< whether the caller may send the same request again
    std::string_view title; ///< one sentence for people
};

/// The row for `kind`.
const error_answer& answer_for(error_kind kind);

/// The kind with the given table name.
/// \returns nothing if no row has this name.
std::optional<error_kind> error_kind_named(std::string_view name);

std::string_view to_string(work_ran ran);

/// The inverse of `to_string`; anything unrecognised is `unknown`.
work_ran work_ran_named(std::string_view name);

/// An error with its context.
struct error {
    error_kind kind{error_kind::internal};
    std::string detail;              ///< what was found and what is allowed
    std::string field;               ///< the path of the offending field, if one is to blame
    work_ran ran{work_ran::unknown}; ///< whether the work ran
};

/// Makes an error whose `ran` is the table's default for `kind`.
error make_error(error_kind kind, std::string detail, std::string field = {});

/// Makes an error that states explicitly whether the work ran.
error make_error(error_kind kind, work_ran ran, std::string detail);

/// `kind: field: detail`, for logs and standard error.
std::string to_string(const error& failure);

/// The `application/problem+json` document for an error.
/// \param request_id identity of the request, left out if empty.
std::string to_problem_json(const error& failure, std::string_view request_id = {});

/// Reads a document written by `to_problem_json`.
/// \returns nothing if it is not one.
std::optional<error> from_problem_json(std::string_view text);

/// A value or an error; observing the wrong one terminates.
template <class T>
using result =
    BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error,
                                             BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Returns success from a function that returns `result<void>`.
inline auto success() {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace boragefront
