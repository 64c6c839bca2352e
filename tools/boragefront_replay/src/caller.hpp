/// \file
/// One caller: sends one request of a trace to an entry and judges the answer.
#pragma once

#include "base/random.hpp"
#include "base/time.hpp"
#include "http/client.hpp"
#include "trace.hpp"

#include <string>
#include <vector>

namespace boragefront::replay {

/// How one request ended.
struct outcome {
    /// "answer", the name of an error kind, "foreign_answer" for an answer that lacks the request's
    /// marker, or "unreadable_answer".
    std::string kind;
    work_ran ran{work_ran::unknown};
    duration latency{0};     ///< from sending to the end of the answer
    duration first_token{0}; ///< of a stream that gave one
};

/// Whether the request was answered whole, with its own answer, within its deadline.
bool attained(const trace_entry& entry, const outcome& ended);

/// Sends `entry` to one of the entries in turn and reads its answer to the end. An entry that
/// cannot be reached is passed over, as the balancer would. \param http, `entries` and `entry`
/// outlive the call. \param idempotency_key sent unless empty. \param first_entry index of the
/// entry to begin with.
http::awaitable<outcome> call(http::client& http, const std::vector<std::string>& entries,
                              const trace_entry& entry, std::string idempotency_key,
                              std::size_t first_entry);

} // namespace boragefront::replay
