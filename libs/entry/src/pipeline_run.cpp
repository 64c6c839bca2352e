/// \file
#include "pipeline_run.hpp"

#include "answers.hpp"
#include "dispatch.hpp"
#include "execution/idempotent_stage.hpp"
#include "execution/token_sequence.hpp"

#include <utility>

namespace boragefront::entry {
namespace {

class pipeline_run {
public:
    pipeline_run(traffic_context& context, caller_request request, http::responder& out)
        : context_{context}, request_{std::move(request)}, out_{out}, body_{std::move(
                                                                          request_.body)} {}

    awaitable<result<void>> run() {
        out_.on_peer_closed([this] { abandoned_.cancel(); });
        auto outcome = co_await run_stages();
        out_.on_peer_closed({});
        if (!outcome) {
            co_await send_failure(outcome.error());
        }
        co_return outcome;
    }

private:
    awaitable<result<void>> run_stages() {
        for (std::size_t stage = 0; stage < request_.stages.size(); ++stage) {
            const bool last = stage + 1 == request_.stages.size();
            auto output = co_await run_stage(stage, last && request_.stream);
            if (!output) {
                co_return output.error();
            }
            if (output.value().stream != nullptr) {
                co_return co_await forward_stream(std::move(output.value()), stage);
            }
            ran_ = work_ran::yes;
            body_ = std::move(output.value().body);
        }
        auto answer = complete_answer(request_.id, body_);
        co_return co_await out_.send(std::move(answer));
    }

    awaitable<result<stage_output>> run_stage(std::size_t stage, bool stream) {
        const auto now = steady_clock::now();
        const auto estimates = estimates_from(stage, now);
        if (execution::is_infeasible(estimates, now, request_.deadline)) {
            const auto kind =
                now >= request_.deadline ? error_kind::expired : error_kind::over_limit;
            co_return make_error(kind, ran_if_unsent(request_),
                                 "the remaining stages cannot finish within the deadline");
        }
        auto plan =
            plan_of(stage, stream, execution::plan_stage(estimates, now, request_.deadline));
        if (request_.repeatable) {
            co_return co_await run_idempotent(context_, std::move(plan), abandoned_);
        }
        co_return co_await run_at_most_once(context_, std::move(plan));
    }

    std::vector<execution::stage_estimate> estimates_from(std::size_t first, time_point now) const {
        std::vector<execution::stage_estimate> estimates;
        for (auto stage = first; stage < request_.stages.size(); ++stage) {
            estimates.push_back(context_.core.decisions.estimate(key_of(stage), now));
        }
        return estimates;
    }

    stage_plan plan_of(std::size_t stage, bool stream, execution::stage_times times) {
        stage_work work;
        work.request = request_.id;
        work.stage = static_cast<std::uint32_t>(stage);
        work.workspace = request_.workspace;
        work.service = request_.service;
        work.lane = request_.profile.priority;
        work.share = request_.share;
        work.repeatable = request_.repeatable;
        work.key = request_.repeatable ? std::string{} : request_.key;
        work.stream = stream;
        work.body = std::move(body_);
        auto key = key_of(stage);
        if (stream) {
            // Attempts race for the first token, whereas estimates cover the whole stage.
            key.stage += ".first_token";
        }
        return {std::move(work),  std::move(key), key_of(stage), request_.stages[stage].pool,
                request_.profile, times};
    }

    stage_key key_of(std::size_t stage) const {
        return {request_.service, request_.stages[stage].name};
    }

    // Sidecars do not report the service time of a stream, so the attempt's elapsed time is
    // counted.
    awaitable<result<void>> forward_stream(stage_output output, std::size_t stage) {
        const auto launched_at = output.launched_at;
        auto outcome = co_await forward_lines(std::move(output));
        const auto now = steady_clock::now();
        const auto use = outcome ? cost_use::useful : cost_use::abandoned;
        count_cost(context_, key_of(stage), use, now - launched_at);
        if (outcome) {
            context_.core.decisions.record_latency(key_of(stage), now - launched_at, now);
        }
        co_return outcome;
    }

    // Sends the head with the first event, so that an earlier failure can set the HTTP status.
    awaitable<result<void>> forward_lines(stage_output output) {
        std::optional<std::string> line{std::move(output.body)};
        ran_ = work_ran::yes;
        for (;;) {
            if (!line) {
                co_return make_error(error_kind::incomplete_answer, work_ran::yes,
                                     "the stream ended without an end line");
            }
            BOOST_OUTCOME_CO_TRY(const bool ended, co_await forward_line(*line));
            if (ended) {
                co_return co_await out_.finish();
            }
            BOOST_OUTCOME_CO_TRY(line, co_await output.stream->next_line(request_.deadline));
        }
    }

    // Returns whether the line was the end of the stream.
    awaitable<result<bool>> forward_line(const std::string& text) {
        BOOST_OUTCOME_CO_TRY(const auto line, read_stream_line(text));
        if (line.end) {
            BOOST_OUTCOME_CO_TRY(tokens_.end(line.count));
            BOOST_OUTCOME_CO_TRY(co_await send_event(end_event(request_.id, line.count)));
            co_return true;
        }
        const auto index = tokens_.count();
        BOOST_OUTCOME_CO_TRY(const bool fresh, tokens_.accept(line.index));
        if (fresh) {
            BOOST_OUTCOME_CO_TRY(co_await send_event(token_event(index, line.text)));
        }
        co_return false;
    }

    awaitable<result<void>> send_event(std::string event) {
        if (!head_sent_) {
            head_sent_ = true;
            auto head = stream_head();
            BOOST_OUTCOME_CO_TRY(co_await out_.begin(std::move(head)));
        }
        co_return co_await out_.write(event);
    }

    awaitable<void> send_failure(error& failure) {
        failure.ran = execution::combined(failure.ran, ran_);
        if (!head_sent_) {
            auto answer = problem_answer(failure, request_.id);
            (void)co_await out_.send(std::move(answer));
            co_return;
        }
        const auto event = error_event(failure, request_.id);
        const auto written = co_await out_.write(event);
        if (written) {
            (void)co_await out_.finish();
        }
    }

    traffic_context& context_;
    caller_request request_;
    http::responder& out_;
    http::cancel_source abandoned_;
    std::string body_;
    execution::token_sequence tokens_;
    bool head_sent_{false};
    work_ran ran_{work_ran::no}; ///< of the completed stages
};

} // namespace

awaitable<result<void>> run_pipeline(traffic_context& context, caller_request request,
                                     http::responder& out) {
    pipeline_run run{context, std::move(request), out};
    co_return co_await run.run();
}

} // namespace boragefront::entry
