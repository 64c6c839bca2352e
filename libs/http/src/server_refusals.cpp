// What a connection answers to requests without calling the handler, and what it reports of
// failures.
#include "base/logging.hpp"
#include "server_connection.hpp"

namespace boragefront::http {
namespace {

constexpr milliseconds memory_retry_after{500}; // most requests take less time

} // namespace

void server_connection::report_incomplete_response(const request& incoming,
                                                   const std::optional<std::string>& thrown) {
    if (peer_closed_) {
        state_->count(&server_statistics::peer_closed);
        return;
    }
    std::string_view reason = "handler_unfinished";
    if (thrown) {
        reason = "handler_threw";
        state_->count(&server_statistics::handler_threw);
    } else if (write_failed_) {
        reason = "write_failed";
        state_->count(&server_statistics::write_failed);
    } else {
        state_->count(&server_statistics::handler_unfinished);
    }
    log_decision(
        "http", "response_incomplete",
        {{"reason", std::string{reason}},
         {"detail", thrown.value_or("")},
         {"target", std::string{target_path(incoming.target)}},
         {"began", response_started_ ? "true" : "false"},
         {"served_before", std::to_string(served_ - 1)},
         {"rested_ms", std::to_string(std::chrono::floor<milliseconds>(rested_).count())}});
}

awaitable<void> server_connection::reject(const boost::system::error_code& failure) {
    keep_alive_ = false;
    if (failure == beast::http::error::body_limit) {
        co_await send_problem(make_error(error_kind::too_large, failure.message()));
    } else if (failure == beast::http::error::header_limit ||
               failure == beast::http::error::buffer_overflow) {
        co_await send_problem(make_error(error_kind::header_too_large, failure.message()));
    } else if (failure == asio::error::operation_aborted && wait_timed_out_) {
        state_->count(&server_statistics::refused_late);
        co_await send_problem(
            make_error(error_kind::request_timeout, "the request did not arrive in time"));
    } else if (failure.category() == make_error_code(beast::http::error::bad_method).category() &&
               failure != beast::http::error::end_of_stream &&
               failure != beast::http::error::partial_message) {
        state_->count(&server_statistics::refused_malformed);
        co_await send_problem(make_error(error_kind::bad_request, failure.message()));
    }
}

awaitable<void> server_connection::refuse_for_memory(std::size_t body_size) {
    keep_alive_ = false;
    state_->count(&server_statistics::refused_for_memory);
    log_decision("http", "refused_for_memory",
                 {{"received_bytes", std::to_string(body_size)},
                  {"used_bytes", std::to_string(state_->memory.used())},
                  {"limit_bytes", std::to_string(state_->memory.limit())}});
    co_await send_problem(
        make_error(error_kind::no_capacity, "not enough memory for the request at present"),
        memory_retry_after);
}

awaitable<void> server_connection::send_problem(const error& problem,
                                                std::optional<milliseconds> retry_after) {
    auto message =
        make_json_response(properties_of(problem.kind).http_status, to_problem_json(problem));
    message.headers.set("Content-Type", "application/problem+json");
    if (retry_after) {
        message.headers.set("Retry-After",
                            std::to_string(std::chrono::duration<double>(*retry_after).count()));
    }
    (void)co_await send(std::move(message));
}

} // namespace boragefront::http
