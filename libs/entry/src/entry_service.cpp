/// \file
#include "entry_service.hpp"

#include "answers.hpp"
#include "pipeline_run.hpp"

#include <boost/asio/this_coro.hpp>

#include <chrono>

namespace boragefront::entry {
namespace {

namespace asio = boost::asio;

constexpr unsigned http_ok = 200;

// Releases an admitted request's place in its workspace on destruction.
class admission_guard {
public:
    admission_guard(entry_core& core, std::string workspace)
        : core_{core}, workspace_{std::move(workspace)} {
        ++core_.in_flight;
    }
    ~admission_guard() {
        core_.decisions.release(workspace_);
        --core_.in_flight;
    }
    admission_guard(const admission_guard&) = delete;
    admission_guard& operator=(const admission_guard&) = delete;

private:
    entry_core& core_;
    std::string workspace_;
};

wall_time wall_now() {
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

} // namespace

bool is_ready(const entry_core& core) {
    return core.control.ready() && !core.draining;
}

entry_service::entry_service(entry_core& core, const std::vector<asio::any_io_executor>& executors)
    : core_{core} {
    for (const auto& executor : executors) {
        contexts_.push_back(std::make_unique<traffic_context>(
            traffic_context{core, executor, http::client::make(executor)}));
    }
}

http::awaitable<void> entry_service::handle(const http::request& message, http::responder& out) {
    const auto path = http::target_path(message.target);
    if (path == "/healthz") {
        auto answer = http::make_json_response(http_ok, R"({"status":"running"})");
        (void)co_await out.send(std::move(answer));
    } else if (path == "/readyz") {
        auto answer = readiness();
        (void)co_await out.send(std::move(answer));
    } else {
        co_await serve_caller(message, out);
    }
}

http::awaitable<void> entry_service::serve_caller(const http::request& message,
                                                  http::responder& out) {
    const auto executor = co_await asio::this_coro::executor;
    auto& context = context_of(executor);
    const auto now = steady_clock::now();
    const auto id = make_uuid7(wall_now(), context.random);
    if (!core_.control.ready()) {
        auto answer = problem_answer(
            make_error(error_kind::not_ready, "the configuration is not known yet"), id);
        (void)co_await out.send(std::move(answer));
        co_return;
    }
    const auto configuration = core_.control.configuration().load();
    auto read = read_caller_request(message, *configuration, id, now);
    if (!read) {
        if (read.error().kind == error_kind::expired && message.headers.has("Idempotency-Key")) {
            // An earlier request with the same key may have run.
            read.error().ran = work_ran::unknown;
        }
        count_answer({}, read.error(), steady_clock::now() - now);
        auto answer = problem_answer(read.error(), id);
        (void)co_await out.send(std::move(answer));
        co_return;
    }
    const auto service = read.value().service;
    const auto deadline = read.value().deadline;
    const auto outcome = co_await run_admitted(context, std::move(read.value()), out);
    const auto ended = steady_clock::now();
    count_answer(service, outcome, ended - now);
    if (outcome) {
        const bool attained = ended <= deadline;
        core_.metrics
            .get_counter(attained ? "boragefront_attained_total" : "boragefront_late_total",
                         "service=\"" + service + '"')
            .add();
    }
}

http::awaitable<result<void>> entry_service::run_admitted(traffic_context& context,
                                                          caller_request request,
                                                          http::responder& out) {
    auto admitted = core_.decisions.admit(request.workspace, request.limits, steady_clock::now());
    if (!admitted) {
        admitted.error().ran = ran_if_unsent(request);
        auto answer = problem_answer(admitted.error(), request.id);
        (void)co_await out.send(std::move(answer));
        co_return admitted;
    }
    const admission_guard held{core_, request.workspace};
    co_return co_await run_pipeline(context, std::move(request), out);
}

traffic_context& entry_service::context_of(const asio::any_io_executor& executor) {
    const auto& target = asio::query(executor, asio::execution::context);
    for (auto& context : contexts_) {
        if (&asio::query(context->executor, asio::execution::context) == &target) {
            return *context;
        }
    }
    return *contexts_.front();
}

http::response entry_service::readiness() const {
    if (is_ready(core_)) {
        return http::make_json_response(http_ok, R"({"status":"ready"})");
    }
    if (core_.draining) {
        return problem_answer(make_error(error_kind::shutting_down, "shutting down"), {});
    }
    return problem_answer(make_error(error_kind::not_ready, "the configuration is not known yet"),
                          {});
}

void entry_service::count_answer(const std::string& service, const result<void>& outcome,
                                 duration latency) {
    const std::string_view kind = outcome ? "whole" : properties_of(outcome.error().kind).name;
    const auto name = "service=\"" + service + '"';
    core_.metrics
        .get_counter("boragefront_answers_total", name + ",kind=\"" + std::string{kind} + '"')
        .add();
    if (outcome) {
        core_.metrics.get_latency("boragefront_answer_seconds", name).record(latency);
    }
}

} // namespace boragefront::entry
