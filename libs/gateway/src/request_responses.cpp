// Endpoints' answers on their way to the caller, and when one that stalls is given up.
#include "base/logging.hpp"
#include "event_splitter.hpp"
#include "request_limits.hpp"
#include "request_handler.hpp"
#include "send_outcomes.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

using balancing::send_outcome;

constexpr int silence_factor = 4; // times the typical latency until another endpoint is tried
constexpr milliseconds least_silence{60};
constexpr milliseconds least_stream_silence{800}; // a long prompt is read for half a second
constexpr int gap_factor = 2; // times the longest wanted pause until a stream counts as silent
constexpr milliseconds least_gap{1'000};
// An endpoint at work sends more than this at a time; a byte now and then is no progress.
constexpr std::size_t least_body_portion = 1'024;
constexpr std::size_t answer_bytes_limit = 16U << 20U; // as the client's own default
constexpr std::size_t event_bytes_limit = 1U << 20U;   // events take a few hundred bytes
constexpr unsigned first_server_error = 500;

} // namespace

// Whether another endpoint could be tried if this one is given up.
bool request_run::may_go_elsewhere() const {
    auto& state = parts_.state;
    auto* const pool = state.pool(service_);
    return route_->repeat == catalog::repeatability::idempotent &&
           sends_ < route_->endpoint_limit && pool != nullptr && pool->size() > 1 &&
           state.budget(service_).allows(state.retry_limit(), state.group().size(),
                                         steady_clock::now());
}

// When an endpoint that makes no progress counts as silent. If nothing else can be tried, it is
// waited for: it may be slow, and giving it up helps nobody.
time_point request_run::patience(time_point progress_at) const {
    if (!may_go_elsewhere()) {
        return deadline_;
    }
    const auto typical = parts_.state.pool(service_)->typical_latency().value_or(milliseconds{0});
    const auto least = route_->streaming ? least_stream_silence : least_silence;
    return std::min(deadline_, progress_at + std::max(typical * silence_factor, least));
}

time_point request_run::stream_stalled_at(const progress_watch& progress) const {
    if (!progress.any()) {
        return patience(progress.since());
    }
    const auto gap_goal = route_->event_gap_goal;
    const auto gap = may_go_elsewhere() ? std::max(gap_goal * gap_factor, least_gap)
                                        : platform::stream_patience(route_->latency_goal, gap_goal);
    return std::min(deadline_, progress.since() + gap);
}

http::awaitable<request_run::next_step> request_run::take_whole(http::response_stream& answer,
                                                                const sent& where) {
    if (auto* const pool = parts_.state.pool(service_); pool != nullptr) {
        pool->first_byte(where.endpoint, where.ticket, steady_clock::now());
    }
    http::response whole = answer.head();
    progress_watch progress{least_body_portion, *head_at_};
    for (;;) {
        auto bytes = co_await answer.next_bytes(patience(progress.since()));
        if (!bytes) {
            note_end(where, outcome_of(bytes.error()));
            co_return co_await after_failure(bytes.error(), true);
        }
        if (!bytes.value()) {
            break;
        }
        whole.body += *bytes.value();
        if (whole.body.size() > answer_bytes_limit) {
            note_end(where, send_outcome::broken);
            const auto endless =
                make_error(error_kind::too_large, work_ran::unknown, "an answer without an end");
            co_return co_await after_failure(endless, true);
        }
        progress.note(bytes.value()->size(), steady_clock::now());
    }
    const bool failed = whole.status >= first_server_error;
    note_end(where, failed ? send_outcome::failed : send_outcome::answered);
    if (failed && may_run_again() && take_repeat()) {
        log_decision("request", "sent_again",
                     {{"request", caller_.id},
                      {"endpoint", where.endpoint},
                      {"reason", "status " + std::to_string(whole.status)}});
        last_failure_ = std::move(whole);
        co_return next_step::again;
    }
    co_await answer_whole(std::move(whole));
    co_return next_step::done;
}

http::awaitable<request_run::next_step> request_run::take_stream(http::response_stream& answer,
                                                                 const sent& where) {
    event_splitter events{last_event_};
    progress_watch progress{1, *head_at_}; // of whole events
    std::optional<error> failure;
    for (;;) {
        auto bytes = co_await answer.next_bytes(stream_stalled_at(progress));
        if (!bytes) {
            failure = bytes.error();
            break;
        }
        if (!bytes.value()) {
            if (events.mid_event()) {
                failure = make_error(error_kind::incomplete_answer, "the stream ends in an event");
            }
            break;
        }
        auto batch = events.add(*bytes.value());
        if (events.pending_bytes() > event_bytes_limit) {
            failure =
                make_error(error_kind::too_large, work_ran::unknown, "an event without an end");
            break;
        }
        if (batch.count == 0) {
            continue;
        }
        progress.note(batch.count, steady_clock::now());
        if (!first_event_at_) {
            first_event_at_ = steady_clock::now();
        }
        if (!began_ && !shared_prompt().empty()) {
            parts_.state.prompts().note(shared_prompt(), where.endpoint, *first_event_at_);
        }
        if (auto* const pool = parts_.state.pool(service_); pool != nullptr) {
            pool->first_byte(where.endpoint, where.ticket, steady_clock::now());
        }
        if (!began_) {
            began_ = true;
            auto head = platform::to_caller(answer.head());
            if (!co_await out_.begin(std::move(head))) {
                caller_left_ = true;
            }
            free_results();
        }
        if (batch.last_id) {
            last_event_ = batch.last_id;
        }
        if (caller_left_ || !co_await out_.write(batch.bytes)) {
            caller_left_ = true;
            note_end(where, send_outcome::cancelled);
            end_.outcome = "cancelled";
            co_return next_step::done;
        }
    }
    if (failure) {
        note_end(where, outcome_of(*failure));
        co_return co_await after_failure(*failure, true);
    }
    note_end(where, send_outcome::answered);
    if (!began_) {
        began_ = true;
        (void)co_await out_.begin(platform::to_caller(answer.head()));
    }
    if (const auto comments = events.take_comments(); !comments.empty()) {
        (void)co_await out_.write(comments);
    }
    end_.whole = static_cast<bool>(co_await out_.finish());
    end_.outcome = "answered";
    end_.status = status_ok;
    co_return next_step::done;
}

} // namespace boragefront::gateway
