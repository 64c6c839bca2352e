/// \file
/// The answers to callers: problem documents, whole results and server-sent events.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragefront::entry {

/// A problem document with its status.
http::response problem_answer(const error& failure, std::string_view request_id);

/// The whole answer.
/// \param result_json the last stage's output.
http::response whole_answer(std::string_view request_id, std::string_view result_json);

/// The head of a stream of server-sent events.
http::response stream_head();

std::string token_event(std::uint64_t index, std::string_view text);
std::string end_event(std::string_view request_id, std::uint64_t count);
std::string error_event(const error& failure, std::string_view request_id);

} // namespace boragefront::entry
