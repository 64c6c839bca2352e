// What callers get of an entry that shuts down while requests are in progress or arrive.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr milliseconds longer_than_grace{10'000};
constexpr seconds patience{15};
constexpr int caller_count = 6;
constexpr milliseconds start_interval{200}; // of callers

// Shuts a gateway down in the background and then destroys it, which closes its sockets.
std::future<void> shut_down(running_gateway& gateway) {
    return std::async(std::launch::async, [&gateway] {
        gateway.node->request_shutdown();
        gateway.node->wait();
        gateway.node.reset();
    });
}

std::future<result<support::line_answer>> send(const running_gateway& gateway,
                                               http::request message) {
    return std::async(std::launch::async,
                      [address = gateway.node->data_address(), message = std::move(message)] {
                          return support::blocking_client{}.call_lines(address, message, patience);
                      });
}

http::request make_staged_request(const std::string& id) {
    auto message = deployment::make_request("staged.example", id);
    message.headers.add("Boragefront-Pieces", "1,1");
    message.headers.add("Boragefront-Piece-Key", "key-" + id);
    return message;
}

std::ptrdiff_t visits_of(const endpoint_stand_in& endpoint, const std::string& id) {
    return std::count_if(endpoint.visits().begin(), endpoint.visits().end(),
                         [&](const auto& visit) { return visit.id == id; });
}

// What became of one request.
struct sent_request {
    std::string id;
    unsigned status{0}; // 0: no complete answer
};

// Sends requests that may not be repeated until the gateway is gone, with different time limits.
// Keeps the connection as long as the gateway allows.
std::vector<sent_request> send_until_gone(const std::string& address, const std::string& name,
                                          const std::atomic<bool>& gone) {
    constexpr std::array limits{"2000", "8000"};
    std::vector<sent_request> sent;
    support::blocking_client client;
    while (!gone) {
        const auto id = name + "-" + std::to_string(sent.size());
        auto message = deployment::make_request("order.example", id);
        message.headers.set("Boragefront-Deadline-Ms", limits.at(sent.size() % limits.size()));
        const auto answer = client.call(address, std::move(message), patience);
        sent.push_back({id, answer ? answer.value().status : 0});
        std::this_thread::sleep_for(milliseconds{3});
    }
    return sent;
}

} // namespace

// Guards against requests that end without an answer because their entry exits.
TEST_CASE("a request that an endpoint works on at the end of a shutdown gets an answer",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    const auto* const host = GENERATE("plain.example", "order.example", "once.example");
    INFO(host);
    const auto* const service = host == std::string{"plain.example"}   ? "plain"
                                : host == std::string{"order.example"} ? "orders"
                                                                       : "model";
    auto& endpoint = system.add_endpoint("i-1", service);
    system.on_loop([&] { endpoint.work = longer_than_grace; });
    auto& gateway = system.start_ready_gateway();
    auto answer = send(gateway, deployment::make_request(host, "r1"));
    REQUIRE(system.becomes_true([&] { return !endpoint.visits().empty(); }));
    auto stopped = shut_down(gateway);
    const auto received = answer.get();
    REQUIRE(received);
    CHECK(received.value().head.status == 502);
    CHECK_FALSE(received.value().broken);
    stopped.get();
    CHECK(system.on_loop([&] { return endpoint.visits().size(); }) == 1);
    CHECK(system.becomes_true([&] { return endpoint.visits().front().left; }));
}

// Guards against requests that end without an answer because their entry exits.
TEST_CASE("a request that waits for a stage at the end of a shutdown is refused as not run",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& first = system.add_endpoint("i-1", "first");
    system.add_endpoint("i-2", "second");
    auto& model = system.add_endpoint("i-3", "model");
    system.on_loop([&] {
        first.work = longer_than_grace;
        model.events = 2;
    });
    auto& gateway = system.start_ready_gateway();
    auto answer = send(gateway, make_staged_request("r1"));
    REQUIRE(system.becomes_true([&] { return !first.visits().empty(); }));
    auto stopped = shut_down(gateway);
    const auto received = answer.get();
    REQUIRE(received);
    CHECK(received.value().head.status == 503);
    CHECK(received.value().head.headers.has("Retry-After"));
    CHECK_FALSE(received.value().broken);
    stopped.get();
    CHECK(system.on_loop([&] { return model.runs(); }) == 0);
}

// Guards against a cut stream that looks complete.
TEST_CASE("a stream that has begun is broken off visibly at the end of a shutdown", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& model = system.add_endpoint("i-1", "model");
    system.on_loop([&] {
        model.events = 1'000;
        model.gap = milliseconds{20};
    });
    auto& gateway = system.start_ready_gateway();
    auto answer = send(gateway, deployment::make_request("once.example", "r1"));
    REQUIRE(system.becomes_true([&] { return !model.visits().empty(); }));
    auto stopped = shut_down(gateway);
    const auto received = answer.get();
    REQUIRE(received);
    CHECK(received.value().head.status == 200);
    CHECK(received.value().broken);
    stopped.get();
    CHECK(system.becomes_true([&] { return model.visits().front().left; }));
}

// Guards against requests that are accepted during a shutdown and cut at its end, although they may
// not be repeated and another entry serves.
TEST_CASE("no request that may not be repeated is lost at an entry that shuts down",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "orders");
    auto& two = system.add_endpoint("i-2", "orders");
    system.start_ready_gateway();
    auto& gateway = system.start_ready_gateway();
    REQUIRE(system.becomes_true(
        [&] { return gateway.metrics->get_gauge("boragefront_peers_alive").value() >= 1; }));
    const auto address = gateway.node->data_address();
    // Work that begins during the shutdown can be complete before its end, but not all of it.
    system.on_loop([&] { one.work = two.work = milliseconds{1'200}; });
    std::atomic<bool> gone{false};
    auto stopped = shut_down(gateway);
    std::vector<std::future<std::vector<sent_request>>> callers;
    callers.reserve(caller_count);
    for (int i = 0; i < caller_count; ++i) {
        callers.push_back(std::async(std::launch::async, [&, i] {
            std::this_thread::sleep_for(start_interval * i);
            return send_until_gone(address, "caller" + std::to_string(i), gone);
        }));
    }
    stopped.get();
    gone = true;
    std::size_t refused = 0;
    for (auto& caller : callers) {
        for (const auto& request : caller.get()) {
            const auto visits = system.on_loop(
                [&] { return visits_of(one, request.id) + visits_of(two, request.id); });
            INFO(request.id << " status " << request.status << " visits " << visits);
            CHECK(visits <= 1);
            CHECK((visits == 0 || request.status == 200 || request.status == 504));
            CHECK((request.status != 503 || visits == 0));
            refused += request.status == 503 ? 1 : 0;
        }
    }
    CHECK(refused > 0);
}
