/// \file
/// Runs an idempotent stage: attempts race, the first result wins, the others are cancelled.
#include "dispatch.hpp"
#include "execution/idempotent_stage.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>
#include <vector>

namespace boragefront::entry {
namespace {

namespace asio = boost::asio;
using execution::attempt_reason;

constexpr unsigned http_ok = 200;
constexpr int slow_latency_factor = 2;

struct race_attempt {
    attempt_reason reason{attempt_reason::first};
    time_point launched_at;
    http::cancel_source cancel;
    std::optional<routing::endpoint_view> endpoint;
    std::optional<stage_output> output;
    bool ended{false};
};

// Owned jointly by its attempts, which may outlive the race.
class stage_race : public std::enable_shared_from_this<stage_race> {
public:
    stage_race(traffic_context& context, stage_plan plan)
        : context_{context}, plan_{std::move(plan)}, machine_{limits_of(context, plan_)},
          wake_{context.executor} {}

    awaitable<result<stage_output>> run(http::cancel_source& abandoned) {
        abandoned.arm([this] { wake_.cancel(); });
        auto outcome = co_await race(abandoned);
        abandoned.disarm();
        cancel_running(outcome ? cost_use::hedged : cost_use::abandoned);
        for (auto& record : attempts_) {
            record->output.reset();
        }
        co_return outcome;
    }

private:
    static execution::idempotent_limits limits_of(const traffic_context& context,
                                                  const stage_plan& plan) {
        execution::idempotent_limits limits;
        limits.max_attempts = plan.profile.retries.max_attempts;
        const auto now = steady_clock::now();
        limits.stall_after = execution::stall_timeout(
            context.core.decisions.estimate(plan.key, now), plan.times.share);
        limits.deadline = plan.times.deadline;
        if (plan.profile.hedging.enabled) {
            limits.hedge_after =
                context.core.decisions.quantile(plan.key, plan.profile.hedging.quantile, now);
        }
        return limits;
    }

    awaitable<result<stage_output>> race(const http::cancel_source& abandoned) {
        for (;;) {
            if (abandoned.cancelled()) {
                co_return make_error(error_kind::cancelled, "the caller closed its connection");
            }
            const auto step = context_.core.decisions.step(machine_, plan_.key, plan_.profile,
                                                           steady_clock::now());
            if (const auto* launch = std::get_if<execution::launch_attempt>(&step)) {
                start(*launch);
            } else if (const auto* winner = std::get_if<execution::use_result>(&step)) {
                co_return std::move(*attempts_.at(winner->attempt)->output);
            } else if (const auto* end = std::get_if<execution::give_up>(&step)) {
                co_return end->failure;
            } else {
                const auto until = std::get<execution::wait_until>(step).at;
                wake_.expires_at(until);
                boost::system::error_code ignored;
                co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            }
        }
    }

    void start(execution::launch_attempt launch) {
        auto made = std::make_unique<race_attempt>();
        made->reason = launch.reason;
        made->launched_at = steady_clock::now();
        attempts_.push_back(std::move(made));
        asio::co_spawn(context_.executor, attempt(shared_from_this(), launch.attempt),
                       asio::detached);
    }

    static awaitable<void> attempt(std::shared_ptr<stage_race> self, unsigned number) {
        auto& record = *self->attempts_.at(number);
        auto chosen = co_await choose_endpoint(self->context_, self->plan_, self->tried_);
        if (!chosen) {
            self->on_failure(number, {chosen.error()});
            co_return;
        }
        auto& endpoint = chosen.value().view;
        self->tried_.insert(endpoint.id);
        record.endpoint = endpoint;
        self->machine_.on_sent(number);
        if (self->plan_.work.stream) {
            co_await self->attempt_stream(number);
        } else {
            co_await self->attempt_unary(number);
        }
    }

    awaitable<void> attempt_unary(unsigned number) {
        const auto target = target_at(*attempts_.at(number)->endpoint, plan_);
        auto message = request_to(target, number);
        const auto options = options_of(number);
        auto outcome = co_await exchange(context_, target.address, identity(number),
                                         std::move(message), options);
        if (auto* failed = std::get_if<work_failure>(&outcome)) {
            on_failure(number, std::move(*failed));
            co_return;
        }
        auto& answer = std::get<work_answer>(outcome);
        stage_output output;
        output.body = std::move(answer.body);
        on_success(number, std::move(output), answer.service_time);
    }

    awaitable<void> attempt_stream(unsigned number) {
        const auto target = target_at(*attempts_.at(number)->endpoint, plan_);
        auto message = request_to(target, number);
        const auto options = options_of(number);
        auto opened = co_await context_.client->open(target.address, std::move(message), options);
        if (!opened) {
            on_failure(number, {opened.error()});
            co_return;
        }
        auto stream = std::move(opened.value());
        const auto refusal = co_await refusal_of(*stream, number);
        if (refusal) {
            on_failure(number, *refusal);
            co_return;
        }
        auto line = co_await stream->next_line(plan_.times.deadline);
        if (!line) {
            on_failure(number, {line.error()});
            co_return;
        }
        stage_output output;
        output.body = line.value().value_or(std::string{});
        output.stream = std::move(stream);
        output.owner = shared_from_this();
        on_success(number, std::move(output), microseconds{0});
    }

    // Returns nothing if the stream belongs to this attempt and has begun.
    awaitable<std::optional<work_failure>> refusal_of(http::response_stream& stream,
                                                      unsigned number) {
        auto answer = stream.head();
        context_.core.control.note_revision(revision_of(answer));
        record_reported_load(context_, attempts_.at(number)->endpoint->data_address, answer);
        const auto id = identity(number);
        if (answer.status == http_ok && is_answer_for(answer, id)) {
            co_return std::nullopt;
        }
        auto body = co_await stream.read_rest(plan_.times.deadline);
        if (!is_answer_for(answer, id)) {
            context_.client->close_idle_connections(attempts_.at(number)->endpoint->data_address);
        }
        if (!body) {
            co_return work_failure{body.error()};
        }
        answer.body = std::move(body.value());
        co_return read_failure(answer, id);
    }

    work_id identity(unsigned number) const {
        return {plan_.work.request, plan_.work.stage, number};
    }

    http::request request_to(const work_target& target, unsigned number) const {
        const auto held = context_.core.control.configuration().load()->highest;
        return make_work_request(plan_.work, number, target, held);
    }

    http::call_options options_of(unsigned number) {
        http::call_options options;
        options.deadline = plan_.times.deadline;
        options.cancel = &attempts_.at(number)->cancel;
        return options;
    }

    void on_success(unsigned number, stage_output output, microseconds service_time) {
        auto& record = *attempts_.at(number);
        const auto now = steady_clock::now();
        record.ended = true;
        context_.core.decisions.record_success(record.endpoint->id);
        const bool won = !finished_ && machine_.on_success(number);
        count_cost(context_, plan_.cost_key, won ? cost_use::useful : cost_use::late, service_time);
        if (won) {
            output.launched_at = record.launched_at;
            record.output = std::move(output);
            context_.core.decisions.record_stage_completion(plan_.key, now - record.launched_at,
                                                            now);
        }
        wake_.cancel();
    }

    void on_failure(unsigned number, work_failure failed) {
        auto& record = *attempts_.at(number);
        if (record.ended) {
            return;
        }
        const auto now = steady_clock::now();
        record.ended = true;
        if (record.endpoint) {
            record_health_evidence(context_, *record.endpoint, failed, now);
        }
        count_cost(context_, plan_.cost_key, cost_use::retried, failed.service_time);
        machine_.on_failure(number, std::move(failed.failure), now);
        wake_.cancel();
    }

    void cancel_running(cost_use use) {
        finished_ = true;
        const auto now = steady_clock::now();
        for (auto& record : attempts_) {
            if (record->ended) {
                continue;
            }
            record->ended = true;
            const auto elapsed = now - record->launched_at;
            count_cost(context_, plan_.cost_key, use, elapsed);
            record_slow_attempt(*record, elapsed, now);
            record->cancel.cancel();
        }
    }

    // The elapsed time of a losing attempt is a lower bound of its endpoint's latency; an attempt
    // still running at the deadline counts as a timeout of its endpoint.
    void record_slow_attempt(const race_attempt& record, duration elapsed, time_point now) {
        auto& decisions = context_.core.decisions;
        if (!record.endpoint) {
            return;
        }
        if (!machine_.winner()) {
            if (now >= plan_.times.deadline) {
                decisions.record_timeout(record.endpoint->id, now);
                context_.client->close_idle_connections(record.endpoint->data_address);
            }
            return;
        }
        decisions.record_latency(plan_.key, elapsed, now);
        const auto usual = decisions.quantile(plan_.key, plan_.profile.hedging.quantile, now);
        if (usual && elapsed > slow_latency_factor * *usual) {
            decisions.record_failure(record.endpoint->id, now);
            context_.client->close_idle_connections(record.endpoint->data_address);
        }
    }

    traffic_context& context_;
    stage_plan plan_;
    execution::idempotent_stage machine_;
    asio::steady_timer wake_;
    std::vector<std::unique_ptr<race_attempt>> attempts_;
    endpoint_ids tried_;
    bool finished_{false};
};

} // namespace

awaitable<result<stage_output>> run_idempotent(traffic_context& context, stage_plan plan,
                                               http::cancel_source& abandoned) {
    const auto race = std::make_shared<stage_race>(context, std::move(plan));
    co_return co_await race->run(abandoned);
}

} // namespace boragefront::entry
