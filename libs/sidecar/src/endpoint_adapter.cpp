/// \file
/// Implementation of calls to the endpoint.
#include "endpoint_adapter.hpp"

#include "endpoint_messages.hpp"

namespace boragefront::sidecar {
namespace {

constexpr unsigned ok_status = 200;
constexpr std::string_view instance_header = "Endpoint-Instance";

call_end end_of(const error& reason) {
    switch (reason.kind) {
    case error_kind::connect_failed:
        return call_end::not_connected;
    case error_kind::cancelled:
        return call_end::cancelled;
    case error_kind::deadline_exceeded:
        return call_end::timed_out;
    case error_kind::too_large:
        return call_end::cancelled;
    default:
        return call_end::lost;
    }
}

endpoint_result malformed(std::string detail) {
    return {call_end::malformed,
            make_error(error_kind::stage_failed, work_ran::yes, std::move(detail)),
            {}};
}

} // namespace

// Whether non-idempotent work ran is unknown once it may have been sent.
endpoint_result endpoint_adapter::failed_call(const endpoint_order& order, error reason) {
    const auto how = end_of(reason);
    if (how == call_end::timed_out || how == call_end::lost) {
        client_.close_idle_connections(address_);
    }
    if (reason.ran == work_ran::unknown && !order.idempotent) {
        reason = make_error(error_kind::outcome_unknown, "endpoint: " + to_string(reason));
    }
    return {how, std::move(reason), {}};
}

http::awaitable<endpoint_result>
endpoint_adapter::run(endpoint_order order, http::cancel_source& cancel, line_receiver receive) {
    http::request message{.method = "POST", .target = "/run"};
    message.headers.set("Content-Type", "application/json");
    message.body = write_order(order);
    http::call_options options{.deadline = order.deadline};
    options.cancel = &cancel;
    // A failure to connect proves that nothing ran; a failure on an idle connection proves nothing.
    options.connection =
        order.idempotent ? http::connection_use::pooled : http::connection_use::fresh;
    auto opened = co_await client_.open(address_, std::move(message), options);
    if (!opened) {
        co_return failed_call(order, std::move(opened.error()));
    }
    auto& stream = *opened.value();
    const std::string instance{stream.head().headers.get(instance_header)};
    endpoint_result ended;
    if (order.stream && stream.head().status == ok_status) {
        ended = co_await read_lines(order, stream, receive);
    } else {
        ended = co_await read_whole(order, stream);
    }
    ended.instance = instance;
    co_return ended;
}

http::awaitable<endpoint_result> endpoint_adapter::read_whole(const endpoint_order& order,
                                                              http::response_stream& stream) {
    auto body = co_await stream.read_rest(order.deadline);
    if (!body) {
        co_return failed_call(order, std::move(body.error()));
    }
    const auto status = stream.head().status;
    if (status == ok_status) {
        auto output = read_output(body.value(), order.id);
        if (!output) {
            co_return malformed("the endpoint's answer is malformed or answers other work");
        }
        ledger::answer whole{"application/json", std::move(*output), {}};
        co_return endpoint_result{call_end::answered, std::move(whole), {}};
    }
    if (says_overloaded(status, body.value())) {
        auto reason =
            make_error(error_kind::over_limit, work_ran::no, "the endpoint is overloaded");
        co_return endpoint_result{call_end::overloaded, std::move(reason), {}};
    }
    auto reason = make_error(error_kind::stage_failed, work_ran::yes,
                             "the endpoint answered " + std::to_string(status));
    co_return endpoint_result{call_end::failed, std::move(reason), {}};
}

http::awaitable<endpoint_result> endpoint_adapter::read_lines(const endpoint_order& order,
                                                              http::response_stream& stream,
                                                              const line_receiver& receive) {
    stream_check check;
    ledger::answer whole{"application/x-ndjson", {}, {}};
    for (;;) {
        auto line = co_await stream.next_line(order.deadline);
        if (!line) {
            co_return failed_call(order, std::move(line.error()));
        }
        if (!line.value()) {
            auto reason = make_error(error_kind::incomplete_answer, work_ran::yes,
                                     "the endpoint's stream has no end");
            co_return endpoint_result{call_end::malformed, std::move(reason), {}};
        }
        const auto kind = check.next(*line.value());
        if (kind == stream_check::line_kind::invalid) {
            co_return malformed("a line of the endpoint's stream is out of place");
        }
        whole.body += *line.value() + '\n';
        if (kind == stream_check::line_kind::end) {
            break;
        }
        receive(std::move(*line.value()));
    }
    // Read to the end of the body, so that the connection can serve another call.
    (void)co_await stream.next_line(order.deadline);
    co_return endpoint_result{call_end::answered, std::move(whole), {}};
}

http::awaitable<result<load_report>> endpoint_adapter::load(time_point deadline) {
    const http::request message{.target = "/load"};
    const http::call_options options{.deadline = deadline};
    auto answer = co_await client_.call(address_, message, options);
    if (!answer) {
        co_return std::move(answer.error());
    }
    auto report = read_load(answer.value().body);
    if (answer.value().status != ok_status || !report) {
        co_return make_error(error_kind::unavailable, "the endpoint's load report is malformed");
    }
    report->answering = answer.value().headers.get(instance_header);
    co_return std::move(*report);
}

} // namespace boragefront::sidecar
