// Replacement of an endpoint that falls silent in the middle of its response. It may be sound and
// go on, so its connection is closed only once another endpoint has accepted the request.
#include "base/logging.hpp"
#include "deadline_check.hpp"
#include "request_handler.hpp"
#include "request_limits.hpp"
#include "send_outcomes.hpp"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

constexpr milliseconds replacement_interval{1'000}; // between attempts to replace an endpoint

http::awaitable<void> wait_until_cancelled(const asio::any_io_executor& executor) {
    asio::steady_timer timer{executor, time_point::max()};
    boost::system::error_code cancelled;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

// Reads on from a silent endpoint while it is being replaced. Returns once the response progresses
// or has ended; an endpoint that has failed stays silent.
http::awaitable<void> wait_for_progress(const asio::any_io_executor& executor,
                                        http::response_stream& silent,
                                        const std::function<bool(const std::string&)>& consume,
                                        time_point deadline) {
    for (;;) {
        (void)co_await silent.wait_for_bytes(time_point::max());
        const auto chunk = co_await silent.next_bytes(deadline);
        if (!chunk) {
            co_await wait_until_cancelled(executor);
            co_return;
        }
        if (!chunk.value() || consume(*chunk.value())) {
            co_return;
        }
    }
}

} // namespace

// Reserves a retry if another endpoint can be sent the request now.
bool request_handler::reserve_other_endpoint() {
    const auto* const pool = context_.state.pool(service_);
    if (!may_retry() || !may_try_another_endpoint() || pool == nullptr ||
        !context_.state.prompt_quarantine().may_repeat(shared_parts_)) {
        return false;
    }
    const auto now = steady_clock::now();
    const auto deadline = stream_started_ ? deadline_ : first_event_deadline_;
    const bool too_late = is_too_late_to_send(deadline - now, pool->typical_latency(),
                                              latency_goal_at_ - received_at_);
    return !too_late && find_endpoint(now) && reserve_retry();
}

// Waits until the response can be read further. Returns whether the endpoint fell silent and
// another one has accepted the request, whose response is `replacement_`.
http::awaitable<bool> request_handler::wait_or_replace(http::response_stream& stream,
                                                       const progress_tracker& progress,
                                                       const byte_consumer& consume) {
    for (;;) {
        const auto replace_at = std::max(silent_at(progress), next_replacement_at_);
        const auto give_up_at = route_->streaming ? stream_deadline(progress) : deadline_;
        if (replace_at >= give_up_at) {
            co_return false;
        }
        if (steady_clock::now() < replace_at) {
            if (co_await stream.wait_for_bytes(replace_at)) {
                co_return false;
            }
            continue;
        }
        bool progressed = false;
        const byte_consumer consume_and_note = [&](const std::string& bytes) {
            progressed = consume(bytes) || progressed;
            return progressed;
        };
        if (co_await replace(stream, consume_and_note)) {
            co_return true;
        }
        next_replacement_at_ = steady_clock::now() + replacement_interval;
        if (progressed) {
            co_return false;
        }
    }
}

// Tries to have another endpoint accept the request while this one is silent. Returns whether one
// has; if not, the response goes on with what was consumed.
http::awaitable<bool> request_handler::replace(http::response_stream& silent,
                                               const byte_consumer& consume) {
    if (!reserve_other_endpoint()) {
        co_return false;
    }
    // The results were released when the stream started.
    if (plan_ && stream_started_ && !co_await reproduce_results(silent, consume)) {
        co_return false;
    }
    const auto now = steady_clock::now();
    const auto chosen = find_endpoint(now);
    auto* const pool = context_.state.pool(service_);
    auto inputs = collect_inputs();
    if (!chosen || pool == nullptr || is_ended_early() || !inputs ||
        context_.state.prompt_quarantine().begin(shared_parts_, now)) {
        if (stream_started_) {
            release_all_results();
        }
        co_return false;
    }
    retry_reserved_ = false;
    auto prepared = prepare_send(*chosen, *pool, std::move(*inputs), now);
    log_decision("request", "replacement_sent",
                 {{"request", caller_.id},
                  {"silent_endpoint", last_endpoint_},
                  {"endpoint", chosen->id},
                  {"last_event", last_event_id_ ? std::to_string(*last_event_id_) : "none"}});
    std::unique_ptr<http::response_stream> accepted;
    auto& cancel = *prepared.options.cancel;
    const auto watch = [&]() -> http::awaitable<void> {
        co_await wait_for_progress(context_.executor, silent, consume, deadline_);
        cancel.cancel();
        co_await wait_until_cancelled(context_.executor);
    };
    using asio::experimental::awaitable_operators::operator||;
    co_await (open_replacement(prepared, accepted) || watch());
    if (accepted != nullptr && cancel.cancelled()) {
        // Both arrived in the same turn; the endpoint that was silent goes on.
        accepted.reset();
        record_outcome(prepared.attempt, balancing::send_outcome::cancelled);
    }
    if (accepted == nullptr) {
        if (stream_started_) {
            release_all_results();
        }
        co_return false;
    }
    last_endpoint_ = chosen->id;
    replacement_ = accepted_response{std::move(accepted), prepared.attempt};
    co_return true;
}

// Sends the request to another endpoint. Sets `accepted` unless that fails or is refused.
http::awaitable<void>
request_handler::open_replacement(prepared_send& prepared,
                                  std::unique_ptr<http::response_stream>& accepted) {
    const auto began_at = steady_clock::now();
    auto opened = co_await context_.endpoints.open(prepared.address, std::move(prepared.message),
                                                   prepared.options);
    if (!opened) {
        if (opened.error().ran == work_ran::no) {
            --attempts_;
            retry_reserved_ = true; // nothing has arrived at an endpoint
        }
        record_failed_open(prepared, opened.error(), began_at);
        co_return;
    }
    context_.state.reachability().record_reached(prepared.data_centre);
    const auto head = platform::read_response_head(opened.value()->head());
    const bool success = head.status == status_ok && head.has_signature &&
                         head.request_id == caller_.id && !head.not_run;
    if (success) {
        accepted = std::move(opened.value());
        co_return;
    }
    record_response_head(head, prepared.attempt);
    attempts_ -= head.not_run ? 1 : 0;
    record_outcome(prepared.attempt, head.misdirected ? balancing::send_outcome::replaced
                                     : head.not_run   ? balancing::send_outcome::refused
                                                      : balancing::send_outcome::failed);
    log_decision("request", "replacement_refused",
                 {{"request", caller_.id},
                  {"endpoint", prepared.attempt.endpoint},
                  {"status", std::to_string(head.status)}});
}

// Runs the stages again while the endpoint is silent. Returns whether all results exist and the
// response has not progressed.
http::awaitable<bool> request_handler::reproduce_results(http::response_stream& silent,
                                                         const byte_consumer& consume) {
    plan_->invalidate_results([](const std::string&) { return true; });
    stage_runs runs{context_.executor};
    std::optional<stages_failure> failure;
    bool ended = false;
    const auto produce = [&]() -> http::awaitable<void> {
        failure = co_await produce_results(runs);
        ended = true;
    };
    bool progressed = false;
    const auto watch = [&]() -> http::awaitable<void> {
        co_await wait_for_progress(context_.executor, silent, consume, deadline_);
        progressed = true;
        runs.cancellation.cancel();
        co_await wait_until_cancelled(context_.executor);
    };
    using asio::experimental::awaitable_operators::operator||;
    co_await (produce() || watch());
    if (progressed || failure) {
        release_all_results();
        co_return false;
    }
    co_return ended;
}

} // namespace boragefront::gateway
