#include "caller.hpp"

#include "token_stream.hpp"

#include <boost/json.hpp>

namespace boragefront::replay {
namespace {

// Late answers are still read, so that their lateness is known.
constexpr seconds lateness_allowance{3};
constexpr unsigned status_ok = 200;
constexpr std::string_view event_stream = "text/event-stream";

std::string target_of(const trace_entry& entry) {
    return "/v1/workspaces/" + entry.workspace + "/services/" + entry.service;
}

http::request request_for(const trace_entry& entry, std::string idempotency_key) {
    http::request message;
    message.method = "POST";
    message.target = target_of(entry);
    message.headers.set("Content-Type", "application/json");
    message.headers.set("Deadline-Ms", std::to_string(entry.deadline.count()));
    if (entry.stream) {
        message.headers.set("Accept", std::string{event_stream});
    }
    if (!idempotency_key.empty()) {
        message.headers.set("Idempotency-Key", std::move(idempotency_key));
    }
    message.body = entry.body;
    return message;
}

outcome failed(const error& failure) {
    return {std::string{properties_of(failure.kind).name}, failure.ran};
}

outcome refused(std::string_view problem) {
    const auto failure = from_problem_json(problem);
    return failure ? failed(*failure) : outcome{"unreadable_answer"};
}

// The answer is the caller's own if its result carries the request's marker.
outcome judge_whole(const trace_entry& entry, std::string_view body) {
    boost::json::error_code failure;
    const auto document = boost::json::parse(body, failure);
    if (failure || !document.is_object()) {
        return {"unreadable_answer"};
    }
    const auto* const answered = document.get_object().if_contains("result");
    if (answered == nullptr) {
        return {"unreadable_answer"};
    }
    const auto text = boost::json::serialize(*answered);
    if (text.find(entry.expected.marker) == std::string::npos) {
        return {"foreign_answer"};
    }
    return {"answer", work_ran::yes};
}

http::awaitable<outcome> read_tokens(http::response_stream& stream, const trace_entry& entry,
                                     time_point sent, time_point deadline) {
    token_stream tokens{entry.expected.marker};
    duration first_token{0};
    for (;;) {
        auto line = co_await stream.next_line(deadline);
        if (!line) {
            co_return failed(line.error());
        }
        if (!line.value()) {
            break;
        }
        tokens.take_line(*line.value());
        if (first_token == duration{0} && tokens.tokens() > 0) {
            first_token = steady_clock::now() - sent;
        }
    }
    const auto ran = tokens.failure() ? tokens.failure()->ran : work_ran::yes;
    co_return outcome{tokens.outcome(), ran, duration{0}, first_token};
}

http::awaitable<outcome> read_answer(http::response_stream& stream, const trace_entry& entry,
                                     time_point sent, time_point deadline) {
    const bool ok = stream.head().status == status_ok;
    if (ok && stream.head().headers.get("Content-Type").starts_with(event_stream)) {
        co_return co_await read_tokens(stream, entry, sent, deadline);
    }
    const auto body = co_await stream.read_rest(deadline);
    if (!body) {
        co_return failed(body.error());
    }
    co_return ok ? judge_whole(entry, body.value()) : refused(body.value());
}

} // namespace

bool attained(const trace_entry& entry, const outcome& ended) {
    return ended.kind == "answer" && ended.latency <= entry.deadline;
}

http::awaitable<outcome> call(http::client& http, std::vector<std::string> entries,
                              const trace_entry& entry, std::string idempotency_key) {
    const auto sent = steady_clock::now();
    const auto deadline = sent + entry.deadline + lateness_allowance;
    const auto message = request_for(entry, std::move(idempotency_key));
    http::call_options options;
    options.deadline = deadline;
    outcome ended;
    for (const auto& address : entries) {
        auto stream = co_await http.open(address, message, options);
        if (stream) {
            ended = co_await read_answer(*stream.value(), entry, sent, deadline);
            break;
        }
        ended = failed(stream.error());
        if (stream.error().kind != error_kind::connect_failed) {
            break;
        }
    }
    ended.latency = steady_clock::now() - sent;
    co_return ended;
}

} // namespace boragefront::replay
