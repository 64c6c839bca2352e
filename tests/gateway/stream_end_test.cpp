// Ends of responses that have neither a length nor chunks: at their endpoint's will, or because it
// crashed.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int all_events = 5;
constexpr int events_before_crash = 2;

struct published_deployment : deployment {
    published_deployment() { publish_configuration(); }
};

struct unframed_deployment : published_deployment {
    endpoint_stand_in& add_model(const std::string& id) {
        auto& added = add_endpoint(id, "model");
        on_loop([&] {
            added.events = all_events;
            added.unframed = true;
        });
        return added;
    }

    // An endpoint that ends during its stream closes its connections in an orderly way.
    void crash_during_stream() {
        on_loop([&] {
            model.crashes_on = "crash";
            model.crashes_after = events_before_crash;
        });
    }

    result<support::line_answer> stream(const std::string& host) {
        auto message = make_request(host, "r1");
        message.headers.add("Boragefront-Prefix-Hash", "crash:10,own:5");
        return call_lines(gateway, std::move(message));
    }

    endpoint_stand_in& model{add_model("i-1")};
    endpoint_stand_in& plain{add_endpoint("i-2", "orders")};
    running_gateway& gateway{start_ready_gateway()};
};

std::size_t count_events(const support::line_answer& answer) {
    return static_cast<std::size_t>(
        std::count_if(answer.lines.begin(), answer.lines.end(),
                      [](const std::string& line) { return line.starts_with("data:"); }));
}

} // namespace

// Guards against a stream that its endpoint's crash ended between two events, and that the gateway
// ended as complete.
TEST_CASE_METHOD(unframed_deployment,
                 "trouble: a stream without a length whose endpoint crashes between events looks "
                 "broken",
                 "[invariant]") {
    crash_during_stream();
    const auto host = GENERATE(as<std::string>{}, "stream.example", "once.example");
    CAPTURE(host);
    const auto answer = stream(host);
    REQUIRE(answer);
    CHECK(answer.value().head.status == 200);
    CHECK(answer.value().broken);
    CHECK(count_events(answer.value()) == events_before_crash);
    CHECK(on_loop([&] { return model.runs(); }) == 1);
}

// Guards against the same where another endpoint can go on with the stream.
TEST_CASE_METHOD(unframed_deployment,
                 "trouble: a stream without a length whose endpoint crashes between events goes on "
                 "at another",
                 "[invariant]") {
    crash_during_stream();
    on_loop([&] { model.gap = milliseconds{300}; }); // the gateway learns of the other meanwhile
    auto streamed = std::async(std::launch::async, [&] { return stream("stream.example"); });
    REQUIRE(becomes_true([&] { return model.visits().size() == 1; }));
    auto& other = add_model("i-3");
    const auto answer = streamed.get();
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(count_events(answer.value()) == all_events);
    CHECK(on_loop([&] { return other.runs(); }) == 1);
}

// Guards against sound streams that are broken off or run again because their end is not explicit.
TEST_CASE_METHOD(unframed_deployment,
                 "a whole stream without a length is complete, and runs once") {
    const auto host = GENERATE(as<std::string>{}, "stream.example", "once.example");
    CAPTURE(host);
    const auto answer = stream(host);
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(count_events(answer.value()) == all_events);
    CHECK(on_loop([&] { return model.runs(); }) == 1);
}

// Guards against sound streams that are broken off because the endpoint resets connections above
// its limit.
TEST_CASE_METHOD(unframed_deployment,
                 "a whole stream without a length is complete if its endpoint has no connection "
                 "to spare") {
    on_loop([&] { model.resets_health_checks = true; });
    const auto answer = stream("once.example");
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(count_events(answer.value()) == all_events);
}

// Guards against a whole stream that is broken off because the endpoint that is asked for the rest
// has none, and states no end either.
TEST_CASE_METHOD(
    unframed_deployment,
    "a whole stream without a length is complete although its endpoint ended with it") {
    on_loop([&] {
        model.crashes_on = "crash";
        model.crashes_after = all_events;
        model.gap = milliseconds{250}; // the gateway learns of the other meanwhile
    });
    auto streamed = std::async(std::launch::async, [&] { return stream("stream.example"); });
    REQUIRE(becomes_true([&] { return model.visits().size() == 1; }));
    (void)add_model("i-3");
    const auto answer = streamed.get();
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    CHECK(count_events(answer.value()) == all_events);
}

// Guards against events that come twice because another endpoint begins the stream anew.
TEST_CASE_METHOD(published_deployment, "a stream whose events have no ids is not resumed",
                 "[invariant]") {
    auto& one = add_endpoint("i-1", "model");
    auto& two = add_endpoint("i-2", "model");
    on_loop([&] {
        for (auto* const endpoint : {&one, &two}) {
            endpoint->events = all_events;
            endpoint->events_have_ids = false;
            endpoint->set_mode(endpoint_mode::cut);
        }
    });
    const auto answer = call_lines(start_ready_gateway(), make_request("stream.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().broken);
    CHECK(count_events(answer.value()) == events_before_crash);
    CHECK(on_loop([&] { return one.runs() + two.runs(); }) == 1);
}

// Guards against a part of a plain response that passes as the whole because its endpoint crashed.
TEST_CASE_METHOD(unframed_deployment,
                 "trouble: a response without a length whose endpoint crashes is not passed on",
                 "[invariant]") {
    on_loop([&] {
        plain.script = scripted_response{"HTTP/1.1 200 OK\r\nBoragefront-Request-Id: {id}\r\n"
                                         "Boragefront-Response-Signature: {id}.signed\r\n\r\npart",
                                         false, connection_end::crash, milliseconds{5}};
    });
    const auto answer = call(gateway, make_request("order.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == 502);
}
