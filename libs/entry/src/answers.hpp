/// \file
/// Builds the answers to callers: problem documents, complete results and server-sent events.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragefront::entry {

/// An `application/problem+json` answer with the HTTP status of the error kind.
http::response problem_answer(const error& failure, std::string_view request_id);

/// A JSON answer with the result of the last stage.
/// \param result_json the last stage's output, inserted without parsing.
http::response complete_answer(std::string_view request_id, std::string_view result_json);

/// The response head of a stream of server-sent events.
http::response stream_head();

std::string token_event(std::uint64_t index, std::string_view text);
std::string end_event(std::string_view request_id, std::uint64_t count);
std::string error_event(const error& failure, std::string_view request_id);

} // namespace boragefront::entry
