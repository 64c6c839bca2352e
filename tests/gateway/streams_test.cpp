// Streams and pipelines through a gateway, with endpoints that fail.
#include "deployment.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

std::vector<std::string> expected_lines(int events) {
    std::vector<std::string> lines;
    for (int i = 1; i <= events; ++i) {
        lines.push_back("id: " + std::to_string(i));
        lines.push_back("data: event-" + std::to_string(i));
        lines.emplace_back();
    }
    return lines;
}

http::request staged_request(const std::string& id) {
    return deployment::make_staged_request("staged.example", id, "2,3");
}

struct pipeline : deployment {
    pipeline() {
        publish_configuration();
        on_loop([&] { model.events = 3; });
    }
    endpoint_stand_in& first{add_endpoint("f-1", "first")};
    endpoint_stand_in& second{add_endpoint("s-1", "second")};
    endpoint_stand_in& model{add_endpoint("m-1", "model")};
};

std::size_t calls_for_pieces(const endpoint_stand_in& one) {
    const auto& visits = one.visits();
    return static_cast<std::size_t>(
        std::count_if(visits.begin(), visits.end(),
                      [](const auto& visit) { return visit.message.target == "/-/stage-run"; }));
}

} // namespace

TEST_CASE("a stream that breaks goes on at another endpoint, nothing missing or twice",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    system.on_loop([&] {
        one.events = two.events = 7;
        one.set_mode(endpoint_mode::cut);
    });
    auto& gateway = system.start_ready_gateway();
    for (int i = 0; i < 4; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto answer =
            system.call_lines(gateway, deployment::make_request("stream.example", id));
        REQUIRE(answer);
        CHECK_FALSE(answer.value().broken);
        CHECK(answer.value().lines == expected_lines(7));
        CHECK(answer.value().head.headers.get("Boragefront-Response-Signature") == id + ".signed");
    }
}

TEST_CASE("a stream that runs once and breaks looks broken, and runs once", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    auto& two = system.add_endpoint("i-2", "model");
    system.on_loop([&] {
        one.events = two.events = 7;
        one.set_mode(endpoint_mode::cut);
        two.set_mode(endpoint_mode::cut);
    });
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call_lines(gateway, deployment::make_request("once.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().broken);
    CHECK(answer.value().lines == expected_lines(2));
    CHECK(system.on_loop([&] { return one.runs() + two.runs(); }) == 1);
}

TEST_CASE("a caller's own resumption is passed on") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    system.on_loop([&] { one.events = 5; });
    auto& gateway = system.start_ready_gateway();
    auto message = deployment::make_request("stream.example", "r1");
    message.headers.add("Last-Event-Id", "3");
    const auto answer = system.call_lines(gateway, message);
    REQUIRE(answer);
    CHECK(answer.value().lines.front() == "id: 4");
}

TEST_CASE("a caller that leaves a stream cancels it") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "model");
    system.on_loop([&] {
        one.events = 100'000;
        one.gap = milliseconds{20};
    });
    auto& gateway = system.start_ready_gateway();
    support::blocking_client impatient;
    (void)impatient.call_lines(gateway.node->data_address(),
                               deployment::make_request("stream.example", "r1"), milliseconds{200});
    CHECK(system.becomes_true([&] { return !one.visits().empty() && one.visits().front().left; }));
}

TEST_CASE_METHOD(pipeline, "stages run in order, each piece with all that it reads",
                 "[invariant]") {
    auto& gateway = start_ready_gateway();
    const auto answer = call_lines(gateway, staged_request("r1"));
    REQUIRE(answer);
    CHECK(answer.value().lines == expected_lines(3));
    const auto visits = on_loop([&] { return second.visits(); });
    REQUIRE_FALSE(visits.empty());
    const auto items = boost::json::parse(visits[0].message.body).at("items").as_array();
    REQUIRE(items.size() == 3);
    for (const auto& item : items) {
        CHECK(item.at("inputs").as_array().size() == 2);
        CHECK(item.at("id") == "r1");
    }
    const auto sent = on_loop([&] { return model.visits().front().message; });
    const auto inputs = sent.headers.get("Boragefront-Inputs");
    CHECK(std::count(inputs.begin(), inputs.end(), ',') == 2);
}

TEST_CASE_METHOD(pipeline, "when one of two stages is refused, the caller learns that") {
    register_again(second, "second", "draining");
    auto& gateway = start_ready_gateway();
    on_loop([&] { first.work = seconds{2}; }); // still at work when the other is given up
    auto message = staged_request("r1");
    message.headers.set("Host", "parallel.example");
    message.headers.set("Boragefront-Deadline-Ms", "240");
    const auto answer = call(gateway, std::move(message));
    REQUIRE(answer);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().headers.has("Retry-After"));
    CHECK(on_loop([&] { return model.runs(); }) == 0);
}

TEST_CASE_METHOD(pipeline, "results are freed at their makers once they were read") {
    auto& gateway = start_ready_gateway();
    REQUIRE(call_lines(gateway, staged_request("r1")));
    const auto freed = [](const endpoint_stand_in& one) {
        std::size_t handles = 0;
        for (const auto& visit : one.visits()) {
            if (visit.message.target == "/-/stage-free") {
                handles += boost::json::parse(visit.message.body).at("handles").as_array().size();
            }
        }
        return handles;
    };
    CHECK(becomes_true([&] { return freed(first) == 2 && freed(second) == 3; }));
}

TEST_CASE_METHOD(pipeline, "results that are gone are made again, and the request runs once") {
    on_loop([&] { model.set_mode(endpoint_mode::inputs_gone, 1); });
    auto& gateway = start_ready_gateway();
    const auto answer = call_lines(gateway, staged_request("r1"));
    REQUIRE(answer);
    CHECK(answer.value().lines == expected_lines(3));
    CHECK(on_loop([&] { return calls_for_pieces(second); }) == 2);
    CHECK(on_loop([&] { return model.runs(); }) == 1);
}

TEST_CASE_METHOD(pipeline, "two entries share one queue for a stage service") {
    auto& one = start_ready_gateway();
    auto& two = start_ready_gateway();
    for (int i = 0; i < 3; ++i) {
        REQUIRE(call_lines(one, staged_request("a" + std::to_string(i))));
        REQUIRE(call_lines(two, staged_request("b" + std::to_string(i))));
    }
    CHECK(on_loop([&] { return model.runs(); }) == 6);
    CHECK(on_loop([&] { return calls_for_pieces(first); }) == 6);
}

TEST_CASE_METHOD(pipeline, "stage work goes on when the dispatching entry is gone") {
    auto& one = start_ready_gateway();
    auto& two = start_ready_gateway();
    two.node.reset();
    for (int i = 0; i < 3; ++i) {
        const auto answer = call_lines(one, staged_request("r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer.value().lines == expected_lines(3));
    }
}
