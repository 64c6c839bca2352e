// Relays endpoints' responses to the caller and abandons responses that stall.
#include "base/logging.hpp"
#include "event_splitter.hpp"
#include "request_handler.hpp"
#include "request_limits.hpp"
#include "send_outcomes.hpp"
#include "survival_check.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

using balancing::send_outcome;

// Times the typical latency, until another endpoint is tried.
constexpr int stall_latency_factor = 4;
constexpr milliseconds min_stall_timeout{60};
// Processing a long prompt takes half a second.
constexpr milliseconds min_stream_stall_timeout{800};
// Times the route's event gap goal, until a stream counts as silent.
constexpr int event_gap_factor = 2;
constexpr milliseconds min_event_gap_timeout{1'000};
// A working endpoint sends more than this at a time. Single bytes now and then are not progress.
constexpr std::size_t min_progress_bytes = 1'024;
constexpr std::size_t max_response_bytes = 16U << 20U; // same as the HTTP client's default
constexpr std::size_t max_event_bytes = 1U << 20U;     // events take a few hundred bytes
constexpr unsigned first_server_error = 500;

} // namespace

// Whether the request may be sent to another endpoint if this one falls silent.
bool request_handler::may_try_another_endpoint() const {
    return route_->idempotency == catalog::idempotency_class::idempotent &&
           attempts_ < route_->endpoint_limit;
}

// When an endpoint without progress counts as silent.
time_point request_handler::silent_at(time_point progress_at) const {
    if (!may_try_another_endpoint()) {
        return time_point::max();
    }
    const auto* const pool = context_.state.pool(service_);
    const auto typical_latency =
        pool == nullptr ? milliseconds{0} : pool->typical_latency().value_or(milliseconds{0});
    const auto min_timeout = route_->streaming ? min_stream_stall_timeout : min_stall_timeout;
    return progress_at + std::max(typical_latency * stall_latency_factor, min_timeout);
}

time_point request_handler::silent_at(const progress_tracker& progress) const {
    if (!route_->streaming || !progress.has_progress()) {
        return silent_at(progress.last_progress_at());
    }
    if (!may_try_another_endpoint()) {
        return time_point::max();
    }
    return progress.last_progress_at() +
           std::max(route_->event_gap_goal * event_gap_factor, min_event_gap_timeout);
}

// When the caller disconnects for lack of events, or the request's deadline.
time_point request_handler::stream_deadline(const progress_tracker& progress) const {
    if (!progress.has_progress()) {
        return deadline_;
    }
    return std::min(deadline_, progress.last_progress_at() +
                                   platform::stream_event_timeout(route_->latency_goal,
                                                                  route_->event_gap_goal));
}

// Checks a response that has ended without an error. Without a length or chunks it ends with its
// connection, also if the endpoint ended in the middle of it.
http::awaitable<std::optional<error>>
request_handler::check_end(const http::response_stream& stream, const send_attempt& attempt) {
    const auto* const pool = context_.state.pool(service_);
    if (stream.has_explicit_end() || pool == nullptr || pool->service().health_path.empty()) {
        co_return std::nullopt;
    }
    checked_endpoint checked{attempt.endpoint, attempt.address, pool->service().health_path};
    const auto found =
        co_await check_survival(context_.endpoints, std::move(checked), add_cancel_source());
    log_decision("request", "end_checked",
                 {{"request", caller_.id},
                  {"endpoint", attempt.endpoint},
                  {"survived", found.survived ? "true" : "false"},
                  {"reason", found.reason}});
    context_.state.metrics()
        .get_counter("boragefront_unframed_ends_total",
                     std::string{"endpoint=\""} + (found.survived ? "survived" : "gone") + '"')
        .add();
    if (found.survived) {
        co_return std::nullopt;
    }
    co_return make_error(error_kind::incomplete_answer,
                         "the endpoint ended with a response that states no end");
}

http::awaitable<request_handler::next_step>
request_handler::relay_response(http::response_stream& stream, const send_attempt& attempt) {
    if (auto* const pool = context_.state.pool(service_); pool != nullptr) {
        pool->on_first_byte(attempt.endpoint, attempt.ticket, steady_clock::now());
    }
    http::response response = stream.head();
    progress_tracker progress{min_progress_bytes, *head_at_};
    bool too_large = false;
    const byte_consumer consume = [&](const std::string& bytes) {
        response.body += bytes;
        too_large = response.body.size() > max_response_bytes ||
                    !lease_response_memory(response.body.capacity());
        const auto before = progress.last_progress_at();
        progress.record(bytes.size(), steady_clock::now());
        return progress.last_progress_at() != before || too_large;
    };
    for (;;) {
        if (co_await wait_or_replace(stream, progress, consume)) {
            record_outcome(attempt, send_outcome::timed_out);
            co_return next_step::replaced;
        }
        auto chunk = co_await stream.next_bytes(deadline_);
        if (!chunk) {
            record_outcome(attempt, to_send_outcome(chunk.error()));
            record_lost_connection(attempt, response_, chunk.error());
            co_return co_await handle_failure(chunk.error(), true);
        }
        if (!chunk.value()) {
            if (const auto failure = co_await check_end(stream, attempt)) {
                record_outcome(attempt, to_send_outcome(*failure));
                record_lost_connection(attempt, response_, *failure);
                co_return co_await handle_failure(*failure, true);
            }
            break;
        }
        (void)consume(*chunk.value());
        if (too_large) {
            record_outcome(attempt, send_outcome::broken);
            const auto oversized =
                make_error(error_kind::too_large, work_ran::unknown,
                           "response body exceeds 16 MiB, or the memory for all responses");
            response.body.clear();
            response.body.shrink_to_fit();
            (void)lease_response_memory(0); // shrinking succeeds
            co_return co_await handle_failure(oversized, true);
        }
    }
    const bool failed = response.status >= first_server_error;
    record_outcome(attempt, failed ? send_outcome::failed : send_outcome::answered);
    if (!failed) {
        const auto now = steady_clock::now();
        record_content(attempt, now);
        record_sound_response(now);
    }
    if (failed && may_retry() && acquire_retry()) {
        log_decision("request", "sent_again",
                     {{"request", caller_.id},
                      {"endpoint", attempt.endpoint},
                      {"reason", "status " + std::to_string(response.status)}});
        last_failed_response_ = std::move(response);
        co_return next_step::retry;
    }
    if (stream_started_) {
        co_await fail(
            make_error(error_kind::stage_failed,
                       "the stream was resumed at an endpoint that responded with status " +
                           std::to_string(response.status)));
        co_return next_step::done;
    }
    co_await send_response(std::move(response));
    co_return next_step::done;
}

http::awaitable<request_handler::next_step>
request_handler::relay_stream(http::response_stream& stream, const send_attempt& attempt) {
    event_splitter events{last_event_id_};
    progress_tracker progress{1, *head_at_}; // counts complete events
    std::optional<error> failure;
    event_batch batch; // complete events that are not relayed yet
    bool too_large = false;
    const byte_consumer consume = [&](const std::string& bytes) {
        auto completed = events.append(bytes);
        batch.bytes += completed.bytes;
        batch.count += completed.count;
        batch.last_id = completed.last_id ? completed.last_id : batch.last_id;
        batch.ends_with_id = completed.count > 0 ? completed.ends_with_id : batch.ends_with_id;
        too_large = events.pending_bytes() > max_event_bytes ||
                    !lease_response_memory(events.pending_bytes() + batch.bytes.size());
        return completed.count > 0 || too_large;
    };
    for (;;) {
        batch = {};
        if (co_await wait_or_replace(stream, progress, consume)) {
            record_outcome(attempt, send_outcome::timed_out);
            co_return next_step::replaced;
        }
        if (batch.count == 0) {
            auto chunk = co_await stream.next_bytes(stream_deadline(progress));
            if (!chunk) {
                failure = chunk.error();
                summary_.stream_end = properties_of(failure->kind).name;
                break;
            }
            if (!chunk.value()) {
                summary_.stream_end = stream.has_explicit_end() ? "explicit" : "connection_closed";
                if (events.has_partial_event()) {
                    failure = make_error(error_kind::incomplete_answer,
                                         "the stream ended in the middle of an event");
                } else if (!stream_started_ && !stream.has_explicit_end()) {
                    failure = make_error(error_kind::incomplete_answer,
                                         "the connection ended before the first event");
                } else {
                    failure = co_await check_end(stream, attempt);
                }
                break;
            }
            (void)consume(*chunk.value());
        }
        if (too_large) {
            failure = make_error(error_kind::too_large, work_ran::unknown,
                                 "event exceeds 1 MiB, or the memory for all responses");
            break;
        }
        if (batch.count == 0) {
            continue;
        }
        record_content(attempt, steady_clock::now());
        progress.record(batch.count, steady_clock::now());
        if (!first_event_at_) {
            first_event_at_ = steady_clock::now();
            record_origin(attempt);
        }
        if (!stream_started_ && !shared_prompt().empty()) {
            context_.state.prompt_locations().record(shared_prompt(), attempt.endpoint,
                                                     *first_event_at_);
        }
        if (auto* const pool = context_.state.pool(service_); pool != nullptr) {
            pool->on_first_byte(attempt.endpoint, attempt.ticket, steady_clock::now());
        }
        if (!stream_started_) {
            stream_started_ = true;
            auto head = platform::make_caller_response(stream.head());
            if (!co_await responder_.begin(std::move(head))) {
                caller_disconnected_ = true;
            }
            release_all_results();
        }
        if (batch.last_id) {
            last_event_id_ = batch.last_id;
        }
        has_resumption_point_ = batch.ends_with_id;
        summary_.events += batch.count;
        if (caller_disconnected_ || !co_await responder_.write(batch.bytes)) {
            caller_disconnected_ = true;
            record_outcome(attempt, send_outcome::cancelled);
            summary_.outcome = "cancelled";
            co_return next_step::done;
        }
    }
    if (failure) {
        record_outcome(attempt, to_send_outcome(*failure));
        record_lost_connection(attempt, response_, *failure);
        co_return co_await handle_failure(*failure, true);
    }
    record_outcome(attempt, send_outcome::answered);
    record_sound_response(steady_clock::now());
    if (!stream_started_) {
        stream_started_ = true;
        (void)co_await responder_.begin(platform::make_caller_response(stream.head()));
    }
    if (const auto comments = events.take_trailing_comments(); !comments.empty()) {
        (void)co_await responder_.write(comments);
    }
    summary_.complete = static_cast<bool>(co_await responder_.finish());
    summary_.outcome = "answered";
    summary_.status = status_ok;
    co_return next_step::done;
}

} // namespace boragefront::gateway
