// Endpoints that announce in their responses that they leave.
#include "deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int requests_after = 10;

// Sends requests one after another and returns how many calls reached the endpoint meanwhile.
std::size_t visits_during_requests(deployment& system, const running_gateway& gateway,
                                   endpoint_stand_in& endpoint, const std::string& host) {
    const auto before = system.on_loop([&] { return endpoint.visits().size(); });
    for (int i = 0; i < requests_after; ++i) {
        const auto id = "after-" + std::to_string(before) + "-" + std::to_string(i);
        const auto answer = system.call_lines(gateway, deployment::make_request(host, id));
        REQUIRE(answer);
        CHECK(answer.value().head.status == 200);
        CHECK_FALSE(answer.value().broken);
    }
    return system.on_loop([&] { return endpoint.visits().size(); }) - before;
}

// Requests of `host` until one reaches the endpoint.
bool reaches(deployment& system, const running_gateway& gateway, endpoint_stand_in& endpoint,
             const std::string& host) {
    for (int i = 0; i < 100; ++i) {
        (void)system.call_lines(gateway,
                                deployment::make_request(host, "first-" + std::to_string(i)));
        if (system.on_loop([&] { return !endpoint.visits().empty(); })) {
            return true;
        }
    }
    return false;
}

} // namespace

// The announcement was not read, so an entry that the store did not reach kept using an endpoint
// that had said that it leaves.
TEST_CASE("an endpoint that announces in a response that it leaves gets no further request",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    const auto* const host =
        GENERATE("plain.example", "order.example", "stream.example", "once.example");
    INFO(host);
    const std::string service = host == std::string{"plain.example"}   ? "plain"
                                : host == std::string{"order.example"} ? "orders"
                                                                       : "model";
    auto& leaves = system.add_endpoint("i-1", service);
    auto& stays = system.add_endpoint("i-2", service);
    system.on_loop([&] {
        leaves.announces_leaving = true;
        if (service == "model") {
            leaves.events = stays.events = 3;
        }
    });
    auto& gateway = system.start_ready_gateway();
    system.on_loop([&] { system.store().set_mode(store_mode::silent); });
    REQUIRE(reaches(system, gateway, leaves, host));
    CHECK(visits_during_requests(system, gateway, leaves, host) == 0);
}

TEST_CASE("a stage endpoint that announces in a response that it leaves gets no further call",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& leaves = system.add_endpoint("i-1", "first");
    system.add_endpoint("i-2", "first");
    system.add_endpoint("i-3", "second");
    auto& model = system.add_endpoint("i-4", "model");
    system.on_loop([&] {
        leaves.announces_leaving = true;
        model.events = 2;
    });
    auto& gateway = system.start_ready_gateway();
    system.on_loop([&] { system.store().set_mode(store_mode::silent); });
    const auto send = [&](const std::string& id) {
        auto request = deployment::make_request("staged.example", id);
        request.headers.add("Boragefront-Pieces", "1,1");
        request.headers.add("Boragefront-Piece-Key", "key-" + id);
        return system.call_lines(gateway, std::move(request));
    };
    const auto calls = [&] {
        return system.on_loop([&] {
            return std::count_if(leaves.visits().begin(), leaves.visits().end(),
                                 [](const auto& visit) { return !visit.made.empty(); });
        });
    };
    for (int i = 0; i < 100 && calls() == 0; ++i) {
        (void)send("first-" + std::to_string(i));
    }
    REQUIRE(calls() == 1);
    for (int i = 0; i < requests_after; ++i) {
        const auto answer = send("after-" + std::to_string(i));
        REQUIRE(answer);
        CHECK_FALSE(answer.value().broken);
    }
    CHECK(calls() == 1);
}

TEST_CASE("an endpoint that has started again after it left is used again") {
    deployment system;
    system.publish_configuration();
    auto& restarts = system.add_endpoint("i-1", "plain");
    system.add_endpoint("i-2", "plain");
    system.on_loop([&] { restarts.announces_leaving = true; });
    auto& gateway = system.start_ready_gateway();
    REQUIRE(reaches(system, gateway, restarts, "plain.example"));
    CHECK(visits_during_requests(system, gateway, restarts, "plain.example") == 0);
    const auto before = system.on_loop([&] {
        restarts.announces_leaving = false;
        restarts.born = 2;
        return restarts.visits().size();
    });
    system.register_again(restarts, "plain", "ready");
    int tries = 0;
    while (system.on_loop([&] { return restarts.visits().size(); }) == before && ++tries < 2'000) {
        (void)system.call(gateway, deployment::make_request("plain.example", "again"));
    }
    CHECK(system.on_loop([&] { return restarts.visits().size(); }) > before);
}
