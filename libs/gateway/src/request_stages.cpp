// Runs the stages of a request, each as soon as its inputs are available.
#include "base/exceptions.hpp"
#include "base/logging.hpp"
#include "platform/stage_calls.hpp"
#include "request_handler.hpp"
#include "request_limits.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

void append_number(std::string& list, std::size_t number) {
    if (!list.empty()) {
        list += ',';
    }
    list += std::to_string(number);
}

std::string numbers_of(const std::vector<stages::piece>& pieces) {
    std::string list;
    for (const auto& piece : pieces) {
        append_number(list, piece.number);
    }
    return list;
}

} // namespace

// Starts the stages whose inputs are available, or defers them. Returns when to call this again
// even if no stage ends; `time_point::max()` if none was deferred.
time_point request_handler::start_stages(stage_runs& runs) {
    auto next_start = time_point::max();
    for (const auto stage : plan_->ready()) {
        if (const auto delay = start_delay(stage); delay > milliseconds{0}) {
            next_start = std::min(next_start, steady_clock::now() + delay);
            continue;
        }
        runs.outcomes[stage] = std::nullopt;
        // The pieces are taken here, as results may be invalidated before the coroutine starts.
        asio::co_spawn(context_.executor, run_stage(stage, plan_->begin_run(stage), runs),
                       [stage, &runs](const std::exception_ptr& thrown) {
                           if (thrown != nullptr) {
                               log_exception("request", "run_stage", thrown);
                               runs.outcomes[stage] = group_refused{}; // the request waits for it
                               runs.stage_ended.cancel();
                           }
                       });
    }
    return next_start;
}

// Runs all stages without results. Returns whether the request can be sent to an endpoint. If not,
// the caller has been sent a response or has disconnected.
http::awaitable<bool> request_handler::run_stages() {
    stage_runs runs{context_.executor};
    auto failure = co_await produce_results(runs);
    stages_done_at_ = steady_clock::now();
    if (caller_disconnected_) {
        summary_.outcome = "cancelled";
    } else if (failure) {
        co_await refuse(std::move(failure->reason), failure->retry_after);
    }
    co_return !failure && !caller_disconnected_;
}

// Runs all stages without results, each once its inputs are available. Returns why a result cannot
// be produced.
http::awaitable<std::optional<request_handler::stages_failure>>
request_handler::produce_results(stage_runs& runs) {
    auto& outcomes = runs.outcomes;
    stage_cancellations_.insert(&runs.cancellation);
    runs.cancellation.add(runs.stage_ended);
    std::optional<stages_failure> failure;
    const auto deadline = stream_started_ ? deadline_ : first_event_deadline_;
    for (;;) {
        auto next_start = time_point::max();
        if (!failure && !is_ended_early() && !runs.cancellation.cancelled()) {
            next_start = start_stages(runs);
        }
        if (outcomes.empty() && next_start == time_point::max()) {
            break;
        }
        const bool none_finished =
            std::none_of(outcomes.begin(), outcomes.end(),
                         [](const auto& outcome) { return outcome.second.has_value(); });
        if (none_finished) {
            boost::system::error_code interrupted;
            // After a cancellation only until the runs have ended.
            runs.stage_ended.expires_at(
                runs.cancellation.cancelled() ? time_point::max() : std::min(next_start, deadline));
            co_await runs.stage_ended.async_wait(
                asio::redirect_error(asio::use_awaitable, interrupted));
        }
        for (auto outcome = outcomes.begin(); outcome != outcomes.end();) {
            if (!outcome->second) {
                ++outcome;
                continue;
            }
            auto ended = end_run(outcome->first, *outcome->second, runs);
            if (ended && !failure) { // the other stages are cancelled because of the first failure
                failure = std::move(ended);
            }
            outcome = outcomes.erase(outcome);
        }
        release_results(plan_->take_releasable());
        if (!failure && input_losses_ > max_input_losses) {
            failure = stages_failure{
                make_error(error_kind::no_capacity, "stage results were lost too often"), {}};
        }
        if (!failure && !plan_->complete() && steady_clock::now() >= deadline) {
            failure = stages_failure{
                make_error(error_kind::no_capacity, "the stages were not complete in time"),
                default_retry_after};
        }
        if (failure || plan_->complete()) {
            runs.cancellation.cancel();
        }
    }
    stage_cancellations_.erase(&runs.cancellation);
    if (!failure && !plan_->complete()) {
        failure = entry_exits_ ? stages_failure{shutdown_error(), shutdown_retry_after()}
                               : stages_failure{make_error(error_kind::cancelled,
                                                           "the results are not needed any more"),
                                                {}};
    }
    co_return failure;
}

// Takes the results of a run. Returns why those that are missing cannot be produced.
std::optional<request_handler::stages_failure>
request_handler::end_run(std::size_t stage, const group_outcome& outcome, const stage_runs& runs) {
    const auto* const completed = std::get_if<group_completed>(&outcome);
    auto unclaimed = plan_->end_run(
        stage, completed == nullptr ? std::vector<stages::piece_result>{} : completed->results);
    release_results({{stage, std::move(unclaimed)}});
    if (!plan_->is_unfinished(stage)) {
        return std::nullopt; // complete, or its readers were completed meanwhile
    }
    if (const auto* const refused = std::get_if<group_refused>(&outcome)) {
        return stages_failure{
            make_error(error_kind::no_capacity, "the stages would not complete in time"),
            refused->retry_after};
    }
    if (completed == nullptr) { // cancelled
        return std::nullopt;
    }
    const auto find_outcome = [&](auto matches) {
        return std::find_if(completed->results.begin(), completed->results.end(),
                            [&](const auto& result) { return matches(result.outcome); });
    };
    const auto none = completed->results.end();
    if (find_outcome([](auto one) { return one == stages::piece_outcome::input_gone; }) != none) {
        ++input_losses_;
        log_inputs_gone(stage, runs);
        plan_->invalidate_results([](const std::string&) { return true; });
        return std::nullopt;
    }
    const auto failed = find_outcome([](auto one) { return one != stages::piece_outcome::made; });
    if (failed == none) {
        return std::nullopt;
    }
    return stages_failure{
        make_error(error_kind::no_capacity,
                   "a piece was not completed: " + std::string{to_string(failed->outcome)}),
        {}};
}

// All results are discarded. Stages that are still running made theirs from inputs that existed.
void request_handler::log_inputs_gone(std::size_t stage, const stage_runs& runs) const {
    std::string running;
    for (const auto& [other, outcome] : runs.outcomes) {
        if (!outcome) {
            append_number(running, other);
        }
    }
    log_decision(
        "request", "stage_inputs_gone",
        {{"request", caller_.id}, {"stage", std::to_string(stage)}, {"stages_running", running}});
}

// Discards results in a data centre that is cut off, as they cannot be read from here. Returns
// whether there were any that can still be produced again.
bool request_handler::discard_unreachable_results() {
    if (!plan_ || stream_started_ || !has_time_left() || input_losses_ >= max_input_losses) {
        return false;
    }
    const auto now = steady_clock::now();
    const auto is_unreachable = [&](const std::string& handle) {
        return context_.state.reachability().is_unreachable(
            context_.state.data_centre_of(platform::holder_address(handle)), now);
    };
    const auto results = plan_->final_results();
    if (std::none_of(results.begin(), results.end(),
                     [&](const auto& result) { return is_unreachable(result.first); })) {
        return false;
    }
    ++input_losses_;
    log_decision("request", "inputs_out_of_reach", {{"request", caller_.id}});
    plan_->invalidate_results(is_unreachable);
    return true;
}

// How long to wait before a stage is started. Only results that take up much memory are worth it.
milliseconds request_handler::start_delay(std::size_t stage) const {
    const auto bytes = route_->stages[stage].result_bytes * plan_->missing_results(stage);
    if (bytes < costly_transfer_bytes) {
        return milliseconds{0};
    }
    return plan_->start_delay(stage, [&](std::size_t other, std::size_t pieces) {
        const auto expected = context_.stages.expected_time(stage_service(other), pieces);
        const auto started = stage_started_at_.find(other);
        const auto elapsed =
            started == stage_started_at_.end()
                ? milliseconds{0}
                : std::chrono::floor<milliseconds>(steady_clock::now() - started->second);
        return std::max(expected - elapsed, milliseconds{0});
    });
}

http::awaitable<void> request_handler::run_stage(std::size_t stage,
                                                 std::vector<stages::piece> missing,
                                                 stage_runs& runs) {
    const auto idle_time_of = [&](std::size_t later_stage, std::size_t pieces) {
        return context_.stages.service_time(stage_service(later_stage), pieces);
    };
    const auto expected_time_of = [&](std::size_t later_stage, std::size_t pieces) {
        return context_.stages.expected_time(stage_service(later_stage), pieces);
    };
    milliseconds engine_time{0};
    if (auto* const pool = context_.state.pool(service_); pool != nullptr) {
        engine_time = pool->typical_latency().value_or(milliseconds{0});
    }
    stages::piece_group group;
    group.pieces = std::move(missing);
    if (group.pieces.size() < plan_->piece_count(stage)) {
        log_decision("request", "pieces_run_again",
                     {{"request", caller_.id},
                      {"stage", std::to_string(stage)},
                      {"pieces", numbers_of(group.pieces)}});
    }
    group.result_bytes = route_->stages[stage].result_bytes;
    group.priority = priority_;
    group.workspace = workspace_;
    const auto inputs = plan_->inputs_of(stage);
    group.near_data_centre = inputs.empty() && group.result_bytes >= costly_transfer_bytes
                                 ? context_.state.preferred_data_centre(*route_, shared_prompt())
                                 : dominant_data_centre(inputs, group.pieces.size()).data_centre;
    const auto deadline = stream_started_ ? deadline_ : first_event_deadline_;
    // A stream that has begun has had its goal, and has to be completed.
    const auto goal = stream_started_ ? deadline_ : latency_goal_at_;
    group.soft_deadline = goal - engine_time - plan_->critical_path_after(stage, expected_time_of);
    group.hard_deadline = deadline - engine_time - plan_->critical_path_after(stage, idle_time_of);
    const auto started_at = steady_clock::now();
    stage_started_at_[stage] = started_at;
    auto outcome = co_await context_.stages.run_group(stage_service(stage), std::move(group),
                                                      runs.cancellation);
    runs.outcomes[stage] = std::move(outcome);
    const auto elapsed = std::chrono::floor<milliseconds>(steady_clock::now() - started_at);
    stage_times_ += (stage_times_.empty() ? "" : ",") + route_->stages[stage].service + ':' +
                    std::to_string(elapsed.count());
    runs.stage_ended.cancel();
}

// Where most of the request's inputs are, if they are costly to transfer.
request_handler::results_location request_handler::inputs_location() const {
    return plan_ ? dominant_data_centre(plan_->final_results(), 1) : results_location{};
}

// The data centre that holds most of these results, if they are costly to transfer to this number
// of readers.
request_handler::results_location request_handler::dominant_data_centre(
    const std::vector<std::pair<std::string, std::size_t>>& results, std::size_t readers) const {
    std::map<std::string, std::uint64_t> bytes;
    for (const auto& [handle, stage] : results) {
        const auto data_centre = context_.state.data_centre_of(platform::holder_address(handle));
        bytes[data_centre] += route_->stages[stage].result_bytes * readers;
    }
    const auto most =
        std::max_element(bytes.begin(), bytes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == bytes.end() || most->second < costly_transfer_bytes
               ? results_location{}
               : results_location{most->first, most->second};
}

void request_handler::release_all_results() {
    if (plan_) {
        release_results(plan_->take_all());
    }
}

void request_handler::release_results(std::vector<stages::stage_results> results) {
    for (auto& stage_results : results) {
        if (!stage_results.handles.empty()) {
            context_.stages.release(route_->stages[stage_results.stage].service,
                                    std::move(stage_results.handles));
        }
    }
}

} // namespace boragefront::gateway
