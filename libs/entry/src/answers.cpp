/// \file
#include "answers.hpp"

#include <boost/json.hpp>

namespace boragefront::entry {
namespace {

constexpr unsigned http_ok = 200;

std::string event(std::string_view name, std::string_view data) {
    std::string text{"event: "};
    text.append(name).append("\ndata: ").append(data).append("\n\n");
    return text;
}

} // namespace

http::response problem_answer(const error& failure, std::string_view request_id) {
    auto answer = http::make_json_response(properties_of(failure.kind).http_status,
                                           to_problem_json(failure, request_id));
    answer.headers.set("Content-Type", "application/problem+json");
    return answer;
}

http::response complete_answer(std::string_view request_id, std::string_view result_json) {
    std::string body{R"({"request_id":)"};
    body += boost::json::serialize(boost::json::string{request_id});
    body += R"(,"result":)";
    body += result_json;
    body += '}';
    return http::make_json_response(http_ok, std::move(body));
}

http::response stream_head() {
    http::response head;
    head.headers.set("Content-Type", "text/event-stream");
    head.headers.set("Cache-Control", "no-store");
    return head;
}

std::string token_event(std::uint64_t index, std::string_view text) {
    const boost::json::object token{{"index", index}, {"text", text}};
    return event("token", boost::json::serialize(token));
}

std::string end_event(std::string_view request_id, std::uint64_t count) {
    const boost::json::object end{{"request_id", request_id}, {"count", count}};
    return event("end", boost::json::serialize(end));
}

std::string error_event(const error& failure, std::string_view request_id) {
    return event("error", to_problem_json(failure, request_id));
}

} // namespace boragefront::entry
