// Attempts of a request at endpoints: sending and retries.
#include "base/logging.hpp"
#include "deadline_check.hpp"
#include "request_handler.hpp"
#include "request_limits.hpp"
#include "send_outcomes.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace boragefront::gateway {
namespace {

using balancing::send_outcome;

// Many round trips; beyond it the host counts as unreachable.
constexpr milliseconds connect_timeout{200};
constexpr unsigned max_rejected_attempts = 5; // endpoints found unreachable or full by one request
// A non-idempotent request uses a pooled connection only while it is almost certainly still open.
constexpr milliseconds max_idle_for_reuse{250};
constexpr unsigned first_redirect = 300;

balancing::reported_load to_reported_load(const platform::endpoint_load& load) {
    return {load.running, load.waiting, load.slots, load.slowness_percent};
}

} // namespace

bool request_handler::may_retry() const {
    return route_->idempotency == catalog::idempotency_class::idempotent && !caller_disconnected_ &&
           has_time_left() && has_resumption_point_ && may_go_on();
}

bool request_handler::has_time_left() const {
    return !entry_exits_ && steady_clock::now() + endpoint_poll_interval < deadline_;
}

// Takes one retry from the budget. Returns whether the route's limit and the budget allow it.
bool request_handler::acquire_retry() {
    auto& state = context_.state;
    return attempts_ < route_->endpoint_limit &&
           state.retry_budget(service_).try_consume(state.retry_limit(), state.entry_group().size(),
                                                    steady_clock::now());
}

// Takes a retry from the budget, unless one is reserved already.
bool request_handler::reserve_retry() {
    retry_reserved_ = retry_reserved_ || acquire_retry();
    return retry_reserved_;
}

http::cancel_source& request_handler::add_cancel_source() {
    auto& added = *cancel_sources_.emplace_back(std::make_unique<http::cancel_source>());
    if (is_ended_early()) {
        added.cancel();
    }
    return added;
}

void request_handler::record_outcome(const send_attempt& attempt, send_outcome outcome) {
    if (auto* const pool = context_.state.pool(service_); pool != nullptr) {
        pool->on_request_ended(attempt.endpoint, attempt.ticket,
                               caller_disconnected_ ? send_outcome::cancelled : outcome,
                               steady_clock::now());
    }
}

// Records an attempt that the endpoint broke off. Unless its response had turned out to be sound,
// the endpoint may have crashed because of it.
void request_handler::record_lost_connection(const send_attempt& attempt,
                                             const quarantine::observed_response& response,
                                             const error& failure) {
    const bool lost = failure.kind == error_kind::connection_lost ||
                      failure.kind == error_kind::incomplete_answer;
    if (!lost || caller_disconnected_) {
        return;
    }
    using quarantine::response_progress;
    constexpr std::array names{"none", "head", "first_content", "content"};
    std::string parts;
    for (const auto& part : shared_parts_) {
        parts += (parts.empty() ? "" : ",") + part;
    }
    const auto now = steady_clock::now();
    const auto content_at = response.content_at();
    const bool gone_on = response.progress() == response_progress::content;
    log_decision(
        "request", "connection_lost",
        {{"request", caller_.id},
         {"endpoint", attempt.endpoint},
         {"incarnation", std::to_string(attempt.incarnation)},
         {"response", names.at(static_cast<std::size_t>(response.progress()))},
         {"since_content_ms",
          content_at ? std::to_string(std::chrono::floor<milliseconds>(now - *content_at).count())
                     : ""},
         {"sound", response.is_sound() ? "true" : "false"},
         {"shared_parts", parts},
         {"since_sent_ms",
          std::to_string(std::chrono::floor<milliseconds>(now - attempt.at).count())}});
    if (!response.is_sound() && !shared_parts_.empty()) {
        context_.state.record_lost({attempt.endpoint, attempt.incarnation, shared_parts_,
                                    attempt.at,
                                    response.progress() != response_progress::none && !gone_on,
                                    gone_on ? content_at : std::nullopt},
                                   now);
    }
}

// Records that content of the response to an attempt arrived.
void request_handler::record_content(const send_attempt& attempt, time_point now) {
    context_.state.record_alive(attempt.endpoint, attempt.incarnation, attempt.at, now);
    if (response_.record_content(now)) {
        record_sound_response(now);
    }
}

// Records that the response is whole, or has gone on for long enough to clear its prompt.
void request_handler::record_sound_response(time_point now) {
    if (!shared_parts_.empty()) {
        context_.state.record_sound(shared_parts_, now);
    }
}

http::awaitable<request_handler::next_step> request_handler::send_to_endpoint() {
    if (caller_disconnected_) {
        summary_.outcome = "cancelled";
        co_return next_step::done;
    }
    if (discard_unreachable_results()) {
        co_return next_step::retry;
    }
    const auto chosen = co_await choose_endpoint();
    if (caller_disconnected_) {
        summary_.outcome = "cancelled";
        co_return next_step::done;
    }
    auto* const pool = context_.state.pool(service_);
    if (const auto& draining = context_.state.draining; draining && pool != nullptr) {
        const auto now = steady_clock::now();
        const auto limit = std::chrono::ceil<milliseconds>(deadline_ - now);
        if (entry_exits_ || !draining->may_send(limit, pool->typical_latency(), now)) {
            co_await refuse(shutdown_error(), shutdown_retry_after());
            co_return next_step::done;
        }
    }
    if (!chosen || pool == nullptr) {
        const auto now = steady_clock::now();
        const auto retry_after = pool == nullptr
                                     ? default_retry_after
                                     : pool->retry_after(now, context_.state.entry_group());
        co_await refuse(make_error(error_kind::no_endpoint, "no endpoint is available at present"),
                        retry_after);
        co_return next_step::done;
    }
    const auto now = steady_clock::now();
    const auto deadline = stream_started_ ? deadline_ : first_event_deadline_;
    if (is_too_late_to_send(deadline - now, pool->typical_latency(),
                            latency_goal_at_ - received_at_)) {
        co_await refuse(make_error(error_kind::no_capacity,
                                   "not enough time left to send the request to an endpoint"),
                        std::nullopt);
        co_return next_step::done;
    }
    auto inputs = collect_inputs();
    if (!inputs) {
        co_await refuse(make_error(error_kind::unavailable, "the stage results are inconsistent"),
                        default_retry_after);
        co_return next_step::done;
    }
    if (const auto refused_for = context_.state.prompt_quarantine().begin(shared_parts_, now)) {
        co_await refuse(quarantine_error(), *refused_for);
        co_return next_step::done;
    }
    auto prepared = prepare_send(*chosen, *pool, std::move(*inputs), now);
    last_endpoint_ = chosen->id;
    response_ = {};
    auto stream = co_await context_.endpoints.open(prepared.address, std::move(prepared.message),
                                                   prepared.options);
    if (!stream) {
        record_failed_open(prepared, stream.error(), now);
        record_lost_connection(prepared.attempt, response_, stream.error());
        co_return co_await handle_failure(stream.error(), stream.error().ran != work_ran::no);
    }
    context_.state.reachability().record_reached(chosen->data_centre);
    auto accepted = std::move(stream.value());
    auto step = co_await handle_response(*accepted, prepared.attempt);
    while (step == next_step::replaced) {
        const auto replacement = std::exchange(replacement_, std::nullopt);
        accepted.reset(); // the silent endpoint must not work on while the other one does
        step = co_await handle_response(*replacement->stream, replacement->attempt);
    }
    co_return step;
}

// The results that the request reads, none if it has no stages. Returns nothing if they are not one
// for each piece, which would be answered as if it were sound.
std::optional<std::vector<std::string>> request_handler::collect_inputs() const {
    if (!plan_) {
        return std::vector<std::string>{};
    }
    auto inputs = plan_->final_inputs();
    if (!inputs) {
        log_warning("request", "inputs_inconsistent",
                    {{"request", caller_.id}, {"reason", inputs.error().detail}});
        context_.state.metrics().get_counter("boragefront_inconsistent_inputs_total").add();
        return std::nullopt;
    }
    return std::move(inputs.value());
}

// Records an attempt at an endpoint, and makes the request to send.
request_handler::prepared_send
request_handler::prepare_send(const balancing::chosen_endpoint& chosen,
                              balancing::endpoint_pool& pool, std::vector<std::string> inputs,
                              time_point now) {
    tried_endpoints_.insert(chosen.id);
    platform::forwarding_headers forwarding;
    forwarding.endpoint = chosen.id;
    forwarding.workspace = workspace_;
    // The caller's timeout, not the route's, which is enforced here.
    const auto time_left = caller_.time_left.value_or(default_timeout);
    forwarding.time_left =
        std::max(milliseconds{1}, time_left - std::chrono::ceil<milliseconds>(now - received_at_));
    forwarding.has_inputs = plan_.has_value() && !route_->stages.empty();
    forwarding.inputs = std::move(inputs);
    forwarding.kv_cache_source = cached_prompt_source(chosen);
    if (last_event_id_) {
        forwarding.last_event_id = std::to_string(*last_event_id_);
    }
    prepared_send prepared{chosen.address,
                           chosen.data_centre,
                           platform::forward(request_, forwarding),
                           {},
                           {chosen.id, chosen.address, chosen.incarnation, chosen.version,
                            pool.on_request_sent(chosen.id, context_.state.cold_limit_of(service_),
                                                 context_.state.entry_group(), now),
                            now}};
    ++attempts_;
    auto& options = prepared.options;
    options.deadline = deadline_;
    options.silent_at = silent_at(now);
    options.end_when_silent = [this] { return may_retry() && reserve_other_endpoint(); };
    options.connect_timeout = connect_timeout;
    options.cancel = &add_cancel_source();
    // Responses name the request, not the attempt. A response to an earlier attempt may come once
    // more on its connection, so no connection carries two attempts.
    options.connection = contacted_addresses_.insert(chosen.address).second
                             ? http::connection_use::pooled
                             : http::connection_use::fresh;
    if (route_->idempotency == catalog::idempotency_class::non_idempotent) {
        options.max_idle_time = max_idle_for_reuse;
    }
    options.matches_request = [this](const http::response& head) {
        const auto id = platform::read_response_head(head).request_id;
        return id.empty() || id == caller_.id;
    };
    return prepared;
}

void request_handler::record_failed_open(const prepared_send& prepared, const error& failure,
                                         time_point began_at) {
    const auto now = steady_clock::now();
    if (failure.kind == error_kind::connect_failed && now - began_at >= connect_timeout) {
        context_.state.reachability().record_unreachable(prepared.data_centre,
                                                         prepared.attempt.endpoint, now);
    }
    if (failure.kind == error_kind::deadline_exceeded) {
        // Other pooled connections to this endpoint may be silent as well.
        context_.endpoints.close_idle_connections(prepared.address);
    }
    record_outcome(prepared.attempt, to_send_outcome(failure));
}

// Records what the head of a response says about its endpoint.
void request_handler::record_response_head(const platform::response_head& head,
                                           const send_attempt& attempt) {
    const auto now = steady_clock::now();
    if (!head.misdirected) {
        context_.state.record_alive(attempt.endpoint, attempt.incarnation, attempt.at, now);
    }
    endpoint_leaving_ = head.leaving;
    if (head.leaving) {
        context_.state.record_leaving(attempt.endpoint, attempt.incarnation, now);
    }
    if (!head.request_id.empty()) { // otherwise it may be a late response to an earlier request
        context_.state.record_limit(service_, attempt.endpoint, attempt.incarnation, head, now);
    }
    auto* const pool = context_.state.pool(service_);
    if (head.retry_after && !head.misdirected && pool != nullptr) {
        pool->on_retry_after(attempt.endpoint, attempt.incarnation, *head.retry_after, now);
        log_decision("request", "endpoint_holds_off",
                     {{"endpoint", attempt.endpoint},
                      {"retry_after_ms", std::to_string(head.retry_after->count())}});
    }
    if (head.load && pool != nullptr) {
        pool->on_load_report(attempt.endpoint, to_reported_load(*head.load), now);
    }
}

http::awaitable<request_handler::next_step>
request_handler::handle_response(http::response_stream& stream, const send_attempt& attempt) {
    const auto head = platform::read_response_head(stream.head());
    head_at_ = steady_clock::now();
    response_ = {};
    response_.record_head();
    record_response_head(head, attempt);
    if (head.request_id.empty() && stream.on_reused_connection()) {
        // This may be a late response to any earlier request on the connection, so it says nothing
        // about this one.
        record_outcome(attempt, send_outcome::broken);
        co_return co_await handle_failure(
            make_error(error_kind::incomplete_answer,
                       "response without a request id on a reused connection"),
            true);
    }
    if (head.not_run) {
        record_outcome(attempt, head.misdirected  ? send_outcome::replaced
                                : head.input_gone ? send_outcome::cancelled
                                                  : send_outcome::refused);
        co_return co_await handle_refusal(head);
    }
    const bool success = head.status >= status_ok && head.status < first_redirect;
    if (success && (!head.has_signature || head.request_id != caller_.id)) {
        record_outcome(attempt, send_outcome::broken);
        co_return co_await handle_failure(make_error(error_kind::incomplete_answer,
                                                     "response without a receipt for this request"),
                                          true);
    }
    if (success && route_->streaming) {
        co_return co_await relay_stream(stream, attempt);
    }
    co_return co_await relay_response(stream, attempt);
}

http::awaitable<request_handler::next_step> request_handler::handle_failure(const error& failure,
                                                                            bool may_have_run) {
    if (caller_disconnected_) {
        summary_.outcome = "cancelled";
        co_return next_step::done;
    }
    if (!may_have_run) {
        --attempts_;
        ++refusals_;
        if (has_time_left() && refusals_ < max_rejected_attempts) {
            log_decision("request", "endpoint_unreachable",
                         {{"request", caller_.id},
                          {"endpoint", last_endpoint_},
                          {"reason", to_string(failure)}});
            co_return next_step::retry;
        }
        if (entry_exits_) {
            co_await refuse(shutdown_error(), shutdown_retry_after());
            co_return next_step::done;
        }
        co_await refuse(make_error(error_kind::no_endpoint, failure.detail), default_retry_after);
        co_return next_step::done;
    } else if (may_retry() && context_.state.prompt_quarantine().may_repeat(shared_parts_) &&
               reserve_retry()) {
        retry_reserved_ = false;
        log_decision("request", "sent_again",
                     {{"request", caller_.id},
                      {"endpoint", last_endpoint_},
                      {"last_event", last_event_id_ ? std::to_string(*last_event_id_) : "none"},
                      {"reason", to_string(failure)}});
        if (plan_ && stream_started_) {
            // The results were freed when the stream started, but the next endpoint needs them
            // again.
            plan_->invalidate_results([](const std::string&) { return true; });
        }
        co_return next_step::retry;
    }
    if (entry_exits_) {
        const auto unknown = make_error(error_kind::outcome_unknown,
                                        "this entry shut down before the endpoint responded");
        co_await fail(unknown);
        co_return next_step::done;
    }
    co_await fail(failure);
    co_return next_step::done;
}

http::awaitable<request_handler::next_step>
request_handler::handle_refusal(const platform::response_head& head) {
    --attempts_;
    ++refusals_;
    auto& state = context_.state;
    // The endpoint counts each attempt, whatever it answers.
    const bool budgeted = state.retry_budget(service_).try_consume(
        state.retry_limit(), state.entry_group().size(), steady_clock::now());
    const bool may_send_again = budgeted && has_time_left() && !caller_disconnected_;
    const bool inputs_lost = head.input_gone && plan_.has_value();
    if (may_send_again && inputs_lost && ++input_losses_ <= max_input_losses) {
        log_decision("request", "inputs_gone",
                     {{"request", caller_.id}, {"endpoint", last_endpoint_}});
        plan_->invalidate_results([](const std::string&) { return true; });
        tried_endpoints_.clear();
        co_return next_step::retry;
    }
    if (may_send_again && !inputs_lost && refusals_ < max_rejected_attempts) {
        log_decision("request", "endpoint_refused",
                     {{"request", caller_.id},
                      {"endpoint", last_endpoint_},
                      {"status", std::to_string(head.status)}});
        co_return next_step::retry;
    }
    auto* const pool = state.pool(service_);
    co_await refuse(
        make_error(error_kind::no_endpoint, "all attempted endpoints refused the request"),
        pool == nullptr ? default_retry_after
                        : pool->retry_after(steady_clock::now(), state.entry_group()));
    co_return next_step::done;
}

} // namespace boragefront::gateway
