// A request's way to its endpoints, and their answers' way back.
#include "base/logging.hpp"
#include "deadline_check.hpp"
#include "request_limits.hpp"
#include "request_handler.hpp"
#include "send_outcomes.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;
using balancing::send_outcome;

constexpr milliseconds connect_timeout{200}; // many round trips; longer means that nobody is there
constexpr milliseconds choice_pause{10};     // between looks for an endpoint while all are held
constexpr int choice_share = 8;   // of the latency goal: what a request is kept for an endpoint
constexpr int affinity_share = 2; // of the time to the goal: what may be spent on a shared prompt
constexpr unsigned unreachable_limit = 5; // endpoints that one request finds unreachable or full
// A pooled connection is used for a request that runs at most once only while it is surely open.
constexpr milliseconds fresh_enough{250};
constexpr unsigned first_redirect = 300;

http::awaitable<void> pause_for(const asio::any_io_executor& executor, milliseconds time) {
    asio::steady_timer pause{executor, time};
    boost::system::error_code cancelled;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

balancing::reported_load to_load(const platform::endpoint_load& load) {
    return {load.running, load.waiting, load.slots};
}

} // namespace

// The part of the prompt by which requests that share it meet at one endpoint.
std::string_view request_run::shared_prompt() const {
    if (!route_->shares_prompts || caller_.prompt.empty()) {
        return {};
    }
    // The last part is the request's own; the one before it names what it shares.
    const auto shared = caller_.prompt.size() > 1 ? caller_.prompt.size() - 2 : 0;
    return caller_.prompt[shared].id;
}

// The address of another engine that should have read the shared prompt, if the chosen one has not.
std::string request_run::prompt_source(const balancing::chosen_endpoint& chosen) const {
    const auto shared = shared_prompt();
    auto& state = parts_.state;
    auto* const pool = state.pool(service_);
    if (shared.empty() || pool == nullptr) {
        return {};
    }
    const auto now = steady_clock::now();
    std::optional<balancing::chosen_endpoint> source;
    if (const auto last = state.prompts().find(shared, now)) {
        source = pool->sound(*last, now);
    }
    if (!source) {
        source = pool->home_of(shared, state.home_data_centre(*route_, shared), now);
    }
    return source && source->id != chosen.id ? source->address : std::string{};
}

http::awaitable<std::optional<balancing::chosen_endpoint>> request_run::choose() {
    auto& state = parts_.state;
    balancing::choice_request wanted;
    wanted.tried = &tried_;
    wanted.regions = homes_ ? &*homes_ : nullptr;
    wanted.near_data_centre = state.data_centre();
    auto stay_in = data_centre_of_results();
    if (stay_in.empty()) {
        stay_in = state.home_data_centre(*route_, shared_prompt());
    }
    wanted.keep_in_data_centre = stay_in;
    wanted.affinity = shared_prompt();
    wanted.affinity_patience = std::chrono::floor<milliseconds>(
        std::max(goal_ - steady_clock::now(), duration{0}) / affinity_share);
    const auto until =
        std::min(deadline_,
                 steady_clock::now() +
                     std::chrono::duration_cast<milliseconds>(goal_ - received_at_) / choice_share);
    for (;;) {
        auto* const pool = state.pool(service_);
        const auto now = steady_clock::now();
        if (pool == nullptr) {
            co_return std::nullopt;
        }
        const auto avoided = state.reach().avoided(now);
        wanted.avoided = &avoided;
        auto found =
            pool->choose(wanted, state.cold_limit_of(service_), state.group(), now, state.random());
        if (found || now >= until || caller_left_ ||
            pool->reason() == balancing::no_choice::none_known) {
            co_return found;
        }
        co_await pause_for(parts_.executor, choice_pause);
    }
}

bool request_run::may_run_again() const {
    return route_->repeat == catalog::repeatability::idempotent && !caller_left_ && has_time();
}

bool request_run::has_time() const {
    return steady_clock::now() + choice_pause < deadline_;
}

// Whether the request may go to one more endpoint, within the route's limit and the budget.
bool request_run::take_repeat() {
    auto& state = parts_.state;
    return sends_ < route_->endpoint_limit &&
           state.budget(service_).take(state.retry_limit(), state.group().size(),
                                       steady_clock::now());
}

void request_run::note_end(const sent& where, send_outcome outcome) {
    if (auto* const pool = parts_.state.pool(service_); pool != nullptr) {
        pool->ended(where.endpoint, where.ticket, caller_left_ ? send_outcome::cancelled : outcome,
                    steady_clock::now());
    }
}

http::awaitable<request_run::next_step> request_run::send_once() {
    if (caller_left_) {
        end_.outcome = "cancelled";
        co_return next_step::done;
    }
    if (forget_unreachable()) {
        co_return next_step::again;
    }
    const auto chosen = co_await choose();
    if (caller_left_) {
        end_.outcome = "cancelled";
        co_return next_step::done;
    }
    auto* const pool = parts_.state.pool(service_);
    if (!chosen || pool == nullptr) {
        const auto now = steady_clock::now();
        const auto later = pool == nullptr ? no_endpoint_retry : pool->retry_after(now);
        co_await refuse(make_error(error_kind::no_endpoint, "no endpoint can take it now"), later);
        co_return next_step::done;
    }
    const auto now = steady_clock::now();
    const auto until = began_ ? deadline_ : first_event_by_;
    if (is_hopeless(until - now, pool->typical_latency(), goal_ - received_at_)) {
        co_await refuse(make_error(error_kind::no_capacity, "too little time left for an endpoint"),
                        std::nullopt);
        co_return next_step::done;
    }
    tried_.insert(chosen->id);
    last_endpoint_ = chosen->id;
    platform::forwarding added;
    added.endpoint = chosen->id;
    added.workspace = workspace_;
    // The caller's own time, not the route's: that one ends the request here.
    const auto left = caller_.time_left.value_or(default_time_left);
    added.time_left =
        std::max(milliseconds{1}, left - std::chrono::ceil<milliseconds>(now - received_at_));
    added.has_inputs = plan_.has_value() && !route_->stages.empty();
    if (plan_) {
        added.inputs = plan_->final_inputs();
    }
    added.fetch_prompt_from = prompt_source(*chosen);
    if (last_event_) {
        added.last_event_id = std::to_string(*last_event_);
    }
    const sent where{
        chosen->id,
        pool->started(chosen->id, parts_.state.cold_limit_of(service_), parts_.state.group(), now),
        now};
    ++sends_;
    http::call_options options;
    options.deadline = patience(now);
    options.connect_timeout = connect_timeout;
    options.cancel = &cancel_;
    if (route_->repeat == catalog::repeatability::non_idempotent) {
        options.idle_limit = fresh_enough;
    }
    options.belongs = [this](const http::response& head) {
        const auto id = platform::read_head(head).request_id;
        return id.empty() || id == caller_.id;
    };
    auto answer = co_await parts_.endpoints.open(chosen->address,
                                                 platform::forward(message_, added), options);
    if (!answer) {
        const bool timed_out = steady_clock::now() - now >= connect_timeout;
        if (answer.error().kind == error_kind::connect_failed && timed_out) {
            parts_.state.reach().note_unreachable(chosen->data_centre, chosen->id,
                                                  steady_clock::now());
        }
        if (answer.error().kind == error_kind::deadline_exceeded) {
            // The others to this endpoint may have gone silent with this one.
            parts_.endpoints.drop_idle(chosen->address);
        }
        note_end(where, outcome_of(answer.error()));
        co_return co_await after_failure(answer.error(), answer.error().ran != work_ran::no);
    }
    parts_.state.reach().note_reached(chosen->data_centre);
    co_return co_await take_answer(*answer.value(), where);
}

http::awaitable<request_run::next_step> request_run::take_answer(http::response_stream& answer,
                                                                 const sent& where) {
    const auto head = platform::read_head(answer.head());
    head_at_ = steady_clock::now();
    auto* const pool = parts_.state.pool(service_);
    if (head.load && pool != nullptr) {
        pool->report(where.endpoint, to_load(*head.load), steady_clock::now());
    }
    if (head.request_id.empty() && answer.on_reused_connection()) {
        // A late answer to any earlier request on this connection, whose word says nothing of this
        // one.
        note_end(where, send_outcome::broken);
        co_return co_await after_failure(
            make_error(error_kind::incomplete_answer, "an answer that names no request"), true);
    }
    if (head.not_run) {
        note_end(where, head.replaced     ? send_outcome::replaced
                        : head.input_gone ? send_outcome::cancelled
                                          : send_outcome::refused);
        co_return co_await after_refusal(head);
    }
    const bool success = head.status >= status_ok && head.status < first_redirect;
    if (success && (!head.has_receipt || head.request_id != caller_.id)) {
        note_end(where, send_outcome::broken);
        co_return co_await after_failure(
            make_error(error_kind::incomplete_answer, "an answer without a receipt"), true);
    }
    if (success && route_->streaming) {
        co_return co_await take_stream(answer, where);
    }
    co_return co_await take_whole(answer, where);
}

http::awaitable<request_run::next_step> request_run::after_failure(const error& failure, bool ran) {
    if (caller_left_) {
        end_.outcome = "cancelled";
        co_return next_step::done;
    }
    if (!ran) {
        --sends_;
        ++refusals_;
        if (has_time() && refusals_ < unreachable_limit) {
            log_decision("request", "endpoint_unreachable",
                         {{"request", caller_.id},
                          {"endpoint", last_endpoint_},
                          {"reason", to_string(failure)}});
            co_return next_step::again;
        }
        co_await refuse(make_error(error_kind::no_endpoint, failure.detail), no_endpoint_retry);
        co_return next_step::done;
    } else if (may_run_again() && take_repeat()) {
        log_decision("request", "sent_again",
                     {{"request", caller_.id},
                      {"endpoint", last_endpoint_},
                      {"last_event", last_event_ ? std::to_string(*last_event_) : "none"},
                      {"reason", to_string(failure)}});
        if (plan_ && began_) {
            // The results were freed when the stream began, and the next endpoint reads them again.
            plan_->forget([](const std::string&) { return true; });
        }
        co_return next_step::again;
    }
    co_await fail(failure);
    co_return next_step::done;
}

http::awaitable<request_run::next_step>
request_run::after_refusal(const platform::answer_head& head) {
    --sends_;
    ++refusals_;
    auto& state = parts_.state;
    if (head.input_gone && plan_ && ++inputs_lost_ <= inputs_lost_limit && has_time()) {
        log_decision("request", "inputs_gone",
                     {{"request", caller_.id}, {"endpoint", last_endpoint_}});
        plan_->forget([](const std::string&) { return true; });
        tried_.clear();
        co_return next_step::again;
    }
    const bool budgeted =
        state.budget(service_).take(state.retry_limit(), state.group().size(), steady_clock::now());
    if (budgeted && has_time() && refusals_ < unreachable_limit && !caller_left_) {
        log_decision("request", "endpoint_refused",
                     {{"request", caller_.id},
                      {"endpoint", last_endpoint_},
                      {"status", std::to_string(head.status)}});
        co_return next_step::again;
    }
    auto* const pool = state.pool(service_);
    co_await refuse(make_error(error_kind::no_endpoint, "the endpoints asked are full"),
                    pool == nullptr ? no_endpoint_retry : pool->retry_after(steady_clock::now()));
    co_return next_step::done;
}

} // namespace boragefront::gateway
