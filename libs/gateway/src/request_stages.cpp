// A request's stages, each run as soon as what it reads is made.
#include "base/logging.hpp"
#include "platform/stage_calls.hpp"
#include "request_limits.hpp"
#include "request_handler.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <map>

namespace boragefront::gateway {
namespace {

namespace asio = boost::asio;

} // namespace

// Runs all stages that are missing, each as soon as what it reads is made. Returns whether the
// request can be sent; if not, it has been answered.
http::awaitable<bool> request_run::run_stages() {
    std::map<std::size_t, std::optional<pieces_answer>> answers;
    wait_source wait;
    waits_.insert(&wait);
    asio::steady_timer some_done{parts_.executor, time_point::max()};
    std::optional<error> failure;
    std::optional<milliseconds> retry_after;
    for (;;) {
        if (!failure) {
            for (const auto stage : plan_->take_ready()) {
                answers[stage] = std::nullopt;
                asio::co_spawn(parts_.executor,
                               run_stage_into(stage, answers[stage], wait, some_done),
                               asio::detached);
            }
        }
        if (answers.empty()) {
            break;
        }
        const bool none_done = std::none_of(answers.begin(), answers.end(),
                                            [](const auto& one) { return one.second.has_value(); });
        if (none_done) {
            boost::system::error_code ended;
            some_done.expires_at(time_point::max());
            co_await some_done.async_wait(asio::redirect_error(asio::use_awaitable, ended));
        }
        for (auto one = answers.begin(); one != answers.end();) {
            if (!one->second) {
                ++one;
                continue;
            }
            if (const auto* const made = std::get_if<pieces_ended>(&*one->second)) {
                plan_->set_results(one->first, made->results);
                for (const auto& result : made->results) {
                    if (result.outcome == stages::piece_outcome::input_gone) {
                        ++inputs_lost_;
                        plan_->forget([](const std::string&) { return true; });
                        break;
                    }
                    if (result.outcome != stages::piece_outcome::made) {
                        failure = make_error(error_kind::no_capacity,
                                             "a piece was not made: " +
                                                 std::string{to_string(result.outcome)});
                    }
                }
            } else if (const auto* const refused = std::get_if<pieces_refused>(&*one->second)) {
                failure = make_error(error_kind::no_capacity,
                                     "the stages ahead take longer than the request has");
                retry_after = refused->retry_after;
            } else if (!failure) {
                // The caller left; a stage that another's failure has cancelled adds nothing.
                failure = make_error(error_kind::cancelled, "the caller left");
            }
            one = answers.erase(one);
        }
        release(plan_->take_spent());
        if (inputs_lost_ > inputs_lost_limit) {
            failure = make_error(error_kind::no_capacity, "results of stages were lost repeatedly");
        }
        if (failure) {
            wait.cancel();
        }
    }
    waits_.erase(&wait);
    stages_done_at_ = steady_clock::now();
    if (failure && !caller_left_) {
        co_await refuse(std::move(*failure), retry_after);
    } else if (caller_left_) {
        end_.outcome = "cancelled";
    }
    co_return !failure && !caller_left_;
}

// Gives up results that lie in a data centre which is cut off, as nobody here can read them.
// Returns whether there were any that can still be made again.
bool request_run::forget_unreachable() {
    if (!plan_ || began_ || !has_time() || inputs_lost_ >= inputs_lost_limit) {
        return false;
    }
    const auto now = steady_clock::now();
    const auto lost = [&](const std::string& handle) {
        return parts_.state.reach().is_cut_off(
            parts_.state.data_centre_of(platform::holder_of(handle)), now);
    };
    const auto results = plan_->final_results();
    if (std::none_of(results.begin(), results.end(),
                     [&](const auto& one) { return lost(one.first); })) {
        return false;
    }
    ++inputs_lost_;
    log_decision("request", "inputs_out_of_reach", {{"request", caller_.id}});
    plan_->forget(lost);
    return true;
}

http::awaitable<void> request_run::run_stage_into(std::size_t stage,
                                                  std::optional<pieces_answer>& answer,
                                                  wait_source& wait,
                                                  asio::steady_timer& some_done) {
    const auto idle_time_of = [&](std::size_t later, std::size_t pieces) {
        return parts_.stages.service_time(route_->stages[later].service, pieces);
    };
    const auto expected_time_of = [&](std::size_t later, std::size_t pieces) {
        return parts_.stages.expected_time(route_->stages[later].service, pieces);
    };
    milliseconds engine_time{0};
    if (auto* const pool = parts_.state.pool(service_); pool != nullptr) {
        engine_time = pool->typical_latency().value_or(milliseconds{0});
    }
    stages::piece_group group;
    group.pieces = plan_->pieces_of(stage);
    group.result_bytes = route_->stages[stage].result_bytes;
    group.priority = priority_;
    const auto inputs = plan_->inputs_of(stage);
    group.near_data_centre = inputs.empty() && group.result_bytes >= dear_to_move_bytes
                                 ? parts_.state.home_data_centre(*route_, shared_prompt())
                                 : data_centre_of(inputs, group.pieces.size());
    group.wanted_by = goal_ - engine_time - plan_->time_after(stage, expected_time_of);
    const auto useful_until = began_ ? deadline_ : first_event_by_;
    group.useless_at = useful_until - engine_time - plan_->time_after(stage, idle_time_of);
    const auto began = steady_clock::now();
    answer = co_await parts_.stages.make(route_->stages[stage].service, std::move(group), wait);
    const auto took = std::chrono::floor<milliseconds>(steady_clock::now() - began);
    stage_times_ += (stage_times_.empty() ? "" : ",") + route_->stages[stage].service + ':' +
                    std::to_string(took.count());
    some_done.cancel();
}

// The data centre that holds most of what the request will read, if that is much.
std::string request_run::data_centre_of_results() const {
    if (!plan_) {
        return {};
    }
    return data_centre_of(plan_->final_results(), 1);
}

// The data centre that holds most of these results, if they are dear to move for so many readers.
std::string
request_run::data_centre_of(const std::vector<std::pair<std::string, std::size_t>>& results,
                            std::size_t readers) const {
    std::map<std::string, std::uint64_t> bytes;
    for (const auto& [handle, stage] : results) {
        const auto where = parts_.state.data_centre_of(platform::holder_of(handle));
        bytes[where] += route_->stages[stage].result_bytes * readers;
    }
    const auto most =
        std::max_element(bytes.begin(), bytes.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == bytes.end() || most->second < dear_to_move_bytes ? std::string{} : most->first;
}

void request_run::free_results() {
    if (plan_) {
        release(plan_->take_all());
    }
}

void request_run::release(std::vector<stages::stage_results> results) {
    for (auto& one : results) {
        parts_.stages.release(route_->stages[one.stage].service, std::move(one.handles));
    }
}

} // namespace boragefront::gateway
