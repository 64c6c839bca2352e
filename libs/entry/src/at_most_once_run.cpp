/// \file
/// Runs a non-idempotent stage at one sidecar at a time; queries lost outcomes over new
/// connections.
#include "dispatch.hpp"
#include "execution/at_most_once.hpp"
#include "execution/idempotent_stage.hpp"

#include <boost/algorithm/string/join.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace boragefront::entry {
namespace {

namespace asio = boost::asio;

constexpr milliseconds min_query_timeout{100};
constexpr milliseconds max_query_timeout{2'000};
constexpr milliseconds same_home_retry_delay{50};
constexpr seconds acknowledge_timeout{2};

class at_most_once_run {
public:
    at_most_once_run(traffic_context& context, stage_plan plan)
        : context_{context}, plan_{std::move(plan)}, machine_{{plan_.profile.retries.max_attempts,
                                                               plan_.times.deadline}} {}

    awaitable<result<stage_output>> run() {
        for (;;) {
            const auto step = machine_.next(steady_clock::now());
            if (const auto* send = std::get_if<execution::send_work>(&step)) {
                co_await send_attempt(first_attempt_ + send->attempt);
            } else if (const auto* ask = std::get_if<execution::query_outcome>(&step)) {
                co_await sleep_until(context_.executor, ask->at);
                co_await send_outcome_query(first_attempt_ + ask->attempt);
            } else if (const auto* end = std::get_if<execution::report_failure>(&step)) {
                const auto failure = end->failure;
                const bool should_continue = co_await release_other_homes();
                if (!should_continue) {
                    co_return with_key_outcome(failure);
                }
            } else {
                co_return std::move(output_);
            }
        }
    }

private:
    awaitable<void> send_attempt(std::uint32_t attempt) {
        last_origin_ = execution::failure_origin::exchange;
        auto chosen = co_await endpoint_for(attempt);
        if (!chosen) {
            machine_.on_no_endpoint(chosen.error());
            co_return;
        }
        set_target(chosen.value().view);
        auto message = make_work_request(plan_.work, attempt, target_, held_revision());
        http::call_options options;
        options.deadline = steady_clock::now() + exchange_timeout();
        sent_at_ = steady_clock::now();
        co_await exchange_and_record(attempt, std::move(message), options);
    }

    // A home that cannot rule out that another sidecar ran a key does not run it, and names those
    // that may have. Each of them returns its result or releases the key permanently; then the
    // work may be sent again. Returns whether to continue.
    awaitable<bool> release_other_homes() {
        const auto others = std::exchange(other_homes_, {});
        if (others.empty()) {
            co_return false;
        }
        first_attempt_ = next_attempt();
        for (const auto& id : others) {
            const bool settled = co_await request_release(id);
            ++first_attempt_;
            if (!settled) {
                co_return false;
            }
            if (has_result_) {
                co_return true;
            }
        }
        plan_.work.released_by = boost::algorithm::join(others, ",");
        machine_ = execution::at_most_once{limits()};
        last_origin_ = execution::failure_origin::exchange;
        co_return true;
    }

    // Returns whether the sidecar released the key or returned its result.
    awaitable<bool> request_release(const std::string& id) {
        auto other = reachable_endpoint(context_, id);
        if (!other) {
            co_return false;
        }
        set_target(other->view);
        const auto query = identity(first_attempt_);
        auto message = make_release_request(plan_.work, query.attempt, target_, held_revision());
        http::call_options options;
        options.deadline = plan_.times.deadline;
        auto outcome =
            co_await exchange(context_, target_.address, query, std::move(message), options);
        if (auto* answer = std::get_if<work_answer>(&outcome)) {
            output_.body = std::move(answer->body);
            has_result_ = true;
            machine_.on_result();
            co_return true;
        }
        const auto& refusal = std::get<work_failure>(outcome);
        const bool released = refusal.origin == execution::failure_origin::sidecar &&
                              refusal.failure.kind == error_kind::not_run &&
                              refusal.failure.ran == work_ran::no;
        co_return released;
    }

    // The first number after all attempts of the state machine so far.
    std::uint32_t next_attempt() const {
        return first_attempt_ + std::max(1U, plan_.profile.retries.max_attempts);
    }

    execution::at_most_once_limits limits() const {
        return {plan_.profile.retries.max_attempts, plan_.times.deadline};
    }

    void set_target(const routing::endpoint_view& endpoint) {
        endpoint_ = endpoint;
        target_ = target_at(endpoint, plan_);
        tried_.insert(endpoint.id);
    }

    revision held_revision() const { return context_.core.control.configuration().load()->highest; }

    awaitable<result<chosen_endpoint>> endpoint_for(unsigned attempt) {
        if (plan_.work.key.empty()) {
            co_return co_await choose_endpoint(context_, plan_, tried_);
        }
        if (attempt > first_attempt_) {
            co_await sleep_until(context_.executor, steady_clock::now() + same_home_retry_delay);
        }
        co_return co_await home_endpoint(context_, plan_, ended_incarnation_, leaving_homes_);
    }

    awaitable<void> send_outcome_query(unsigned attempt) {
        auto message = make_outcome_request(identity(attempt), target_);
        const auto now = steady_clock::now();
        const auto remaining = std::max(duration{0}, plan_.times.deadline - now);
        http::call_options options;
        options.deadline =
            now + std::min(remaining, std::clamp<duration>(remaining / 3, min_query_timeout,
                                                           max_query_timeout));
        options.connection = http::connection_use::fresh;
        co_await exchange_and_record(attempt, std::move(message), options);
    }

    awaitable<void> exchange_and_record(unsigned attempt, http::request message,
                                        http::call_options options) {
        auto outcome = co_await exchange(context_, target_.address, identity(attempt),
                                         std::move(message), options);
        const auto now = steady_clock::now();
        if (auto* failed = std::get_if<work_failure>(&outcome)) {
            record_health_evidence(context_, *endpoint_, *failed, now);
            count_cost(context_, plan_.cost_key, cost_use::retried, failed->service_time);
            last_origin_ = failed->origin;
            other_homes_ = std::move(failed->other_homes);
            if (failed->failure.kind == error_kind::wrong_incarnation) {
                ended_incarnation_ = target_.life;
            }
            if (failed->failure.kind == error_kind::shutting_down) {
                leaving_homes_.insert(endpoint_->id);
            }
            machine_.on_failure(std::move(failed->failure), failed->origin, now);
            co_return;
        }
        auto& answer = std::get<work_answer>(outcome);
        output_.body = std::move(answer.body);
        context_.core.decisions.record_success(endpoint_->id);
        context_.core.decisions.record_stage_completion(plan_.key, now - sent_at_, now);
        count_cost(context_, plan_.cost_key, cost_use::useful, answer.service_time);
        machine_.on_result();
        acknowledge(attempt);
    }

    void acknowledge(unsigned attempt) {
        asio::co_spawn(context_.executor,
                       send_acknowledge(context_, target_.address,
                                        make_acknowledge_request(identity(attempt), target_)),
                       asio::detached);
    }

    static awaitable<void> send_acknowledge(traffic_context& context, std::string address,
                                            http::request message) {
        http::call_options options;
        options.deadline = steady_clock::now() + acknowledge_timeout;
        (void)co_await context.client->call(std::move(address), std::move(message), options);
    }

    // The wait for an answer before the outcome is queried over a new connection.
    duration exchange_timeout() const {
        const auto now = steady_clock::now();
        const auto remaining = std::max(duration{0}, plan_.times.deadline - now);
        return execution::stall_timeout(context_.core.decisions.estimate(plan_.key, now),
                                        remaining);
    }

    // With an idempotency key, only a sidecar's refusal of work whose key history it knows proves
    // that the key did not run; other failures cover this request only, and an earlier request
    // with the key may have run.
    error with_key_outcome(error failure) const {
        const bool of_key =
            last_origin_ == execution::failure_origin::sidecar &&
            (failure.kind == error_kind::over_limit || failure.kind == error_kind::shutting_down ||
             failure.kind == error_kind::expired);
        if (!plan_.work.key.empty() && !of_key) {
            failure.ran = execution::combined(failure.ran, work_ran::unknown);
        }
        return failure;
    }

    work_id identity(unsigned attempt) const {
        return {plan_.work.request, plan_.work.stage, attempt};
    }

    traffic_context& context_;
    stage_plan plan_;
    execution::at_most_once machine_;
    std::optional<routing::endpoint_view> endpoint_;
    work_target target_;
    time_point sent_at_{};
    endpoint_ids tried_;
    std::uint32_t first_attempt_{0};       // offset of the state machine's numbers
    incarnation ended_incarnation_{0};     // of the home sidecar
    endpoint_ids leaving_homes_;           // homes that are shutting down
    std::vector<std::string> other_homes_; // named by the last refusal
    bool has_result_{false};
    execution::failure_origin last_origin_{execution::failure_origin::exchange};
    stage_output output_;
};

} // namespace

awaitable<result<stage_output>> run_at_most_once(traffic_context& context, stage_plan plan) {
    at_most_once_run run{context, std::move(plan)};
    co_return co_await run.run();
}

} // namespace boragefront::entry
