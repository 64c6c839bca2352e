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

/// Sends `entry` to the first of the entries that can be reached and reads the answer to its end.
/// \param http and `entry` outlive the call.
/// \param entries data addresses, tried in this order. \pre not empty.
/// \param idempotency_key sent unless empty.
http::awaitable<outcome> call(http::client& http, std::vector<std::string> entries,
                              const trace_entry& entry, std::string idempotency_key);

} // namespace boragefront::replay
