// Many long messages at once, to and from endpoints.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;
constexpr int long_callers = 16;
constexpr int short_requests = 40;

// Runs callers of long messages, and beside them one who sends short requests. Returns how many of
// these were answered with 200.
template <class LongCall>
int run_beside(deployment& system, const running_gateway& gateway, const LongCall& long_call) {
    std::vector<std::thread> threads;
    threads.reserve(long_callers);
    for (int i = 0; i < long_callers; ++i) {
        threads.emplace_back([&long_call, i] { long_call(i); });
    }
    int answered = 0;
    for (int i = 0; i < short_requests; ++i) {
        const auto answer = system.call(
            gateway, deployment::make_request("plain.example", "s" + std::to_string(i)));
        answered += answer && answer.value().status == 200 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds{10});
    }
    for (auto& one : threads) {
        one.join();
    }
    return answered;
}

} // namespace

// Answers without end, each within the limit of one answer, used up the memory of the entry.
TEST_CASE("trouble: answers without end share one budget of memory", "[invariant]") {
    constexpr std::size_t budget = 8 * mebibyte;
    constexpr std::size_t socket_buffers = 6 * mebibyte; // of one connection, on both sides
    deployment system;
    system.set_message_memory(budget);
    system.publish_configuration();
    system.add_endpoint("p-1", "plain");
    auto& faulty = system.add_endpoint("o-1", "orders");
    const bool in_a_stream = GENERATE(false, true);
    auto& flooding = in_a_stream ? system.add_endpoint("m-1", "model") : faulty;
    system.on_loop([&] {
        flooding.events = in_a_stream ? 3 : 0;
        flooding.set_mode(endpoint_mode::flooding);
    });
    auto& gateway = system.start_ready_gateway();
    const std::string host{in_a_stream ? "once.example" : "order.example"};
    const auto answered = run_beside(system, gateway, [&](int i) {
        const auto answer =
            system.call(gateway, deployment::make_request(host, "l" + std::to_string(i)));
        CHECK((!answer || answer.value().status != 200));
    });
    CHECK(answered == short_requests);
    CHECK(system.on_loop([&] { return flooding.flooded_bytes; }) <=
          budget + long_callers * socket_buffers);
}

// Long requests at once, each within the limit of one body, used up the memory of the entry.
TEST_CASE("long requests share one budget of memory, and others are served", "[invariant]") {
    deployment system;
    system.set_message_memory(16 * mebibyte);
    system.publish_configuration();
    auto& plain = system.add_endpoint("p-1", "plain");
    auto& orders = system.add_endpoint("o-1", "orders");
    system.on_loop([&] { orders.work = milliseconds{300}; });
    auto& gateway = system.start_ready_gateway();
    const auto long_request = [](const std::string& id) {
        auto message = deployment::make_request("order.example", id);
        message.body.assign(3 * mebibyte, 'x');
        return message;
    };
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    const auto answered = run_beside(system, gateway, [&](int i) {
        const auto answer = system.call(gateway, long_request("l" + std::to_string(i)));
        served += answer && answer.value().status == 200 ? 1 : 0;
        refused +=
            answer && answer.value().status == 503 && answer.value().headers.has("Retry-After") ? 1
                                                                                                : 0;
    });
    CHECK(answered == short_requests);
    CHECK(served + refused == long_callers);
    CHECK(refused > 0);
    CHECK(system.on_loop([&] { return orders.runs(); }) == static_cast<std::size_t>(served));
    CHECK(system.on_loop([&] { return plain.runs(); }) == short_requests);
    for (int i = 0; i < 4; ++i) {
        const auto answer = system.call(gateway, long_request("alone" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
    }
}
