// Endpoints that fall silent in the middle of a stream.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int events = 8;
constexpr std::size_t lines_per_event = 3;
// Longer than a stream's endpoint may be silent until another one is tried, shorter than callers
// wait.
constexpr milliseconds long_pause{2'500};
constexpr milliseconds endless{60'000};

void pause_streams(deployment& system, endpoint_stand_in& endpoint, milliseconds time) {
    system.on_loop([&] {
        endpoint.events = events;
        endpoint.gap = milliseconds{20};
        endpoint.cut_after = 3;
        endpoint.pause = time;
        endpoint.set_mode(endpoint_mode::pausing);
    });
}

auto begin_stream(deployment& system, const running_gateway& gateway, http::request message) {
    return std::async(std::launch::async, [&system, &gateway, message = std::move(message)] {
        return system.call_lines(gateway, message);
    });
}

http::request make_staged_request(const std::string& id) {
    auto message = deployment::make_request("staged.example", id);
    message.headers.add("Boragefront-Pieces", "1,1");
    message.headers.add("Boragefront-Piece-Key", "input");
    return message;
}

void check_whole(const result<support::line_answer>& answer) {
    REQUIRE(answer);
    CHECK_FALSE(answer.value().broken);
    const auto& lines = answer.value().lines;
    CHECK(lines.size() == events * lines_per_event);
    for (int i = 1; i <= events; ++i) {
        CHECK(std::count(lines.begin(), lines.end(), "id: " + std::to_string(i)) == 1);
    }
}

} // namespace

// Guards against a stream that is cut because its endpoint was silent for a while and no other
// endpoint accepted it: the silent one was sound and would have gone on.
TEST_CASE("a stream whose endpoint pauses is whole if no other endpoint accepts it") {
    deployment system;
    system.publish_configuration();
    auto& pausing = system.add_endpoint("i-1", "model");
    pause_streams(system, pausing, long_pause);
    auto& gateway = system.start_ready_gateway();
    auto stream = begin_stream(system, gateway, deployment::make_request("stream.example", "r1"));
    REQUIRE(system.becomes_true([&] { return !pausing.visits().empty(); }));
    const auto mode = GENERATE(endpoint_mode::refusing, endpoint_mode::failing,
                               endpoint_mode::resetting, endpoint_mode::silent);
    INFO("mode of the other endpoint " << static_cast<int>(mode));
    auto& other = system.add_endpoint("i-2", "model");
    system.on_loop([&] { other.set_mode(mode); });
    check_whole(stream.get());
    CHECK(system.on_loop([&] { return !other.visits().empty(); }));
}

// Guards against the same in a pipeline, whose results are released once the stream begins.
TEST_CASE("a stream whose endpoint pauses is whole if its stages cannot be run again") {
    deployment system;
    system.publish_configuration();
    auto& pausing = system.add_endpoint("i-1", "model");
    pause_streams(system, pausing, long_pause);
    auto& first = system.add_endpoint("i-3", "first");
    system.add_endpoint("i-4", "second");
    auto& gateway = system.start_ready_gateway();
    auto stream = begin_stream(system, gateway, make_staged_request("r1"));
    REQUIRE(system.becomes_true([&] { return !pausing.visits().empty(); }));
    const bool removed = GENERATE(true, false);
    if (removed) {
        system.remove(first);
    } else {
        system.on_loop([&] { first.work = endless; });
    }
    auto& other = system.add_endpoint("i-2", "model");
    system.on_loop([&] { other.events = events; });
    check_whole(stream.get());
}

// Guards against a pipeline that cannot be run again once a run of it was broken off because the
// silent endpoint went on.
TEST_CASE("a stream whose endpoint pauses and then fails goes on at another endpoint") {
    deployment system;
    system.publish_configuration();
    auto& pausing = system.add_endpoint("i-1", "model");
    pause_streams(system, pausing, milliseconds{1'500});
    system.on_loop([&] { pausing.gap = milliseconds{200}; });
    auto& first = system.add_endpoint("i-3", "first");
    system.add_endpoint("i-4", "second");
    auto& gateway = system.start_ready_gateway();
    auto stream = begin_stream(system, gateway, make_staged_request("r1"));
    REQUIRE(system.becomes_true([&] { return !pausing.visits().empty(); }));
    auto& other = system.add_endpoint("i-2", "model");
    system.on_loop([&] {
        other.events = events;
        first.work = seconds{1};
    });
    REQUIRE(system.becomes_true([&] { return first.visits().size() == 2; })); // the silence began
    std::this_thread::sleep_for(milliseconds{900});                           // and has ended
    system.on_loop([&] {
        pausing.stop();
        first.work = milliseconds{0};
    });
    check_whole(stream.get());
}

// Guards against a stream that stays with an endpoint that is silent for good.
TEST_CASE("a stream whose endpoint falls silent goes on at another endpoint") {
    deployment system;
    system.publish_configuration();
    auto& silent = system.add_endpoint("i-1", "model");
    pause_streams(system, silent, endless);
    system.add_endpoint("i-3", "first");
    system.add_endpoint("i-4", "second");
    auto& gateway = system.start_ready_gateway();
    const bool staged = GENERATE(false, true);
    INFO("staged " << staged);
    auto stream = begin_stream(system, gateway,
                               staged ? make_staged_request("r1")
                                      : deployment::make_request("stream.example", "r1"));
    REQUIRE(system.becomes_true([&] { return !silent.visits().empty(); }));
    auto& other = system.add_endpoint("i-2", "model");
    system.on_loop([&] { other.events = events; });
    check_whole(stream.get());
    CHECK(system.on_loop([&] { return other.visits().size(); }) == 1);
    CHECK(system.becomes_true([&] { return silent.visits().front().left; }));
}

// Guards against events that are lost, doubled or held back when the silent endpoint goes on while
// another one is being asked.
TEST_CASE("a stream stays with an endpoint that goes on before another one answers") {
    deployment system;
    system.publish_configuration();
    auto& pausing = system.add_endpoint("i-1", "model");
    pause_streams(system, pausing, milliseconds{1'500});
    auto& gateway = system.start_ready_gateway();
    auto stream = begin_stream(system, gateway, deployment::make_request("stream.example", "r1"));
    REQUIRE(system.becomes_true([&] { return !pausing.visits().empty(); }));
    auto& slow = system.add_endpoint("i-2", "model");
    system.on_loop([&] {
        slow.events = events;
        slow.work = seconds{4};
    });
    const auto began_at = steady_clock::now();
    check_whole(stream.get());
    CHECK(steady_clock::now() - began_at < seconds{3});
    CHECK(system.becomes_true(
        [&] { return slow.visits().size() == 1 && slow.visits().front().left; }));
    CHECK(system.on_loop([&] { return pausing.visits().size(); }) == 1);
}

// Guards against a plain request that is answered with an error because its endpoint is slow and no
// other endpoint is there to be sent it.
TEST_CASE("a slow endpoint's response is waited for if no other endpoint can be chosen") {
    deployment system;
    system.publish_configuration();
    auto& slow = system.add_endpoint("i-1", "plain");
    auto& leaving = system.add_endpoint("i-2", "plain");
    system.register_again(leaving, "plain", "draining");
    system.on_loop([&] { slow.work = milliseconds{1'500}; });
    auto& gateway = system.start_ready_gateway();
    for (int i = 0; i < 3; ++i) {
        const auto answer = system.call(
            gateway, deployment::make_request("plain.example", "r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
    }
}
