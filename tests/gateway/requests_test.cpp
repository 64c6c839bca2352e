// What callers and endpoints see of a gateway, with endpoints that fail.
#include "deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

std::string receipt_of(const http::response& answer) {
    return std::string{answer.headers.get("Boragefront-Response-Signature")};
}

// Requests r0, r1 and so on, each answered with success.
void expect_served(deployment& system, const running_gateway& gateway, const std::string& host,
                   int requests) {
    for (int i = 0; i < requests; ++i) {
        const auto answer =
            system.call(gateway, deployment::make_request(host, "r" + std::to_string(i)));
        REQUIRE(answer);
        CHECK(answer.value().status == 200);
    }
}

} // namespace

TEST_CASE("a request passes unchanged, and its answer comes back unchanged", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& endpoint = system.add_endpoint("i-1", "plain");
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call(gateway, deployment::make_request("plain.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body == "answer to r1");
    CHECK(receipt_of(answer.value()) == "r1.signed");
    const auto visits = system.on_loop([&] { return endpoint.visits(); });
    REQUIRE(visits.size() == 1);
    CHECK(visits[0].message.method == "POST");
    CHECK(visits[0].message.target == "/path?query=%20");
    CHECK(visits[0].message.body == "body of r1");
    CHECK(visits[0].message.headers.get("Host") == "plain.example");
    CHECK(visits[0].message.headers.get("Boragefront-Tenant-Id") == "team");
    CHECK(visits[0].message.headers.get("Boragefront-Expect-Instance") == "i-1");
    CHECK_FALSE(visits[0].message.headers.has("Api-Key"));
}

TEST_CASE("what no configuration allows is refused") {
    deployment system;
    system.publish_configuration();
    system.add_endpoint("i-1", "plain");
    auto& gateway = system.start_ready_gateway();
    CHECK(system.call(gateway, deployment::make_request("no.example", "r1")).value().status == 404);
    auto stranger = deployment::make_request("plain.example", "r2");
    stranger.headers.set("Api-Key", "unknown");
    CHECK(system.call(gateway, stranger).value().status == 401);
}

TEST_CASE("an entry that knows no configuration says that it did not run the request") {
    deployment system;
    auto& gateway = system.start_gateway();
    const auto answer = system.call(gateway, deployment::make_request("plain.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().headers.has("Retry-After"));
    CHECK_FALSE(system.is_ready(gateway));
}

TEST_CASE("an order whose connection breaks is not sent again", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "orders");
    auto& two = system.add_endpoint("i-2", "orders");
    const auto mode = GENERATE(endpoint_mode::resetting, endpoint_mode::cut,
                               endpoint_mode::no_receipt, endpoint_mode::other_first);
    INFO("mode " << static_cast<int>(mode));
    system.on_loop([&] {
        one.set_mode(mode);
        two.set_mode(mode);
    });
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call(gateway, deployment::make_request("order.example", "r1"));
    REQUIRE(answer);
    if (mode == endpoint_mode::other_first) {
        CHECK(answer.value().body == "answer to r1");
    } else {
        CHECK(answer.value().status == 502);
        CHECK(receipt_of(answer.value()).empty());
    }
    CHECK(system.on_loop([&] { return one.runs() + two.runs(); }) == 1);
}

TEST_CASE("an order that an endpoint did not run goes to another", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "orders");
    auto& two = system.add_endpoint("i-2", "orders");
    system.on_loop([&] { one.set_mode(endpoint_mode::refusing); });
    auto& gateway = system.start_ready_gateway();
    expect_served(system, gateway, "order.example", 6);
    CHECK(system.on_loop([&] { return one.runs(); }) == 0);
    CHECK(system.on_loop([&] { return two.runs(); }) == 6);
}

TEST_CASE("a refusal that says not run is true", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "orders");
    system.on_loop([&] { one.set_mode(endpoint_mode::refusing); });
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call(gateway, deployment::make_request("order.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().headers.has("Retry-After"));
    CHECK(system.on_loop([&] { return one.runs(); }) == 0);
}

TEST_CASE("an idempotent request is sent again to another endpoint") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "plain");
    auto& two = system.add_endpoint("i-2", "plain");
    const auto mode = GENERATE(endpoint_mode::resetting, endpoint_mode::cut, endpoint_mode::failing,
                               endpoint_mode::no_receipt, endpoint_mode::silent);
    INFO("mode " << static_cast<int>(mode));
    system.on_loop([&] { one.set_mode(mode); });
    auto& gateway = system.start_ready_gateway();
    expect_served(system, gateway, "plain.example", 4);
    CHECK(system.on_loop([&] { return two.runs(); }) == 4);
}

TEST_CASE("an endpoint's failure is passed on as it is, when there is nothing better") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "plain");
    system.on_loop([&] { one.set_mode(endpoint_mode::failing); });
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call(gateway, deployment::make_request("plain.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == 500);
    CHECK(answer.value().body == "answer to r1");
    CHECK(receipt_of(answer.value()) == "r1.signed");
}

TEST_CASE("an answer that comes twice or late belongs to no other request", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "plain");
    const auto mode = GENERATE(endpoint_mode::twice, endpoint_mode::other_first);
    INFO("mode " << static_cast<int>(mode));
    system.on_loop([&] { one.set_mode(mode); });
    auto& gateway = system.start_ready_gateway();
    for (int i = 0; i < 10; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto answer = system.call(gateway, deployment::make_request("plain.example", id));
        REQUIRE(answer);
        CHECK(answer.value().body == "answer to " + id);
        CHECK(receipt_of(answer.value()) == id + ".signed");
    }
}

TEST_CASE("an address that another endpoint has taken runs nothing", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& real = system.add_endpoint("i-1", "orders");
    auto& stranger = system.add_endpoint("i-9", "other");
    system.on_loop([&] {
        auto entry = stranger.registration("orders");
        system.store().put("servers/i-2", entry); // registered under an id that it does not have
    });
    auto& gateway = system.start_ready_gateway();
    expect_served(system, gateway, "order.example", 6);
    CHECK(system.on_loop([&] { return stranger.runs(); }) == 0);
    CHECK(system.on_loop([&] { return real.runs(); }) == 6);
}

TEST_CASE("a request ends at its route's time-out, and its endpoint is told") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "orders");
    system.on_loop([&] { one.set_mode(endpoint_mode::silent); });
    auto& gateway = system.start_ready_gateway();
    const auto answer = system.call(gateway, deployment::make_request("order.example", "r1"));
    REQUIRE(answer);
    CHECK(answer.value().status == 504);
    CHECK(system.becomes_true([&] { return one.visits().front().left; }));
}

TEST_CASE("a caller that leaves cancels its request") {
    deployment system;
    system.publish_configuration();
    auto& one = system.add_endpoint("i-1", "plain");
    system.on_loop([&] { one.set_mode(endpoint_mode::silent); });
    auto& gateway = system.start_ready_gateway();
    support::blocking_client impatient;
    CHECK_FALSE(impatient.call(gateway.node->data_address(),
                               deployment::make_request("plain.example", "r1"), milliseconds{100}));
    CHECK(system.becomes_true([&] { return !one.visits().empty() && one.visits().front().left; }));
    CHECK(system.on_loop([&] { return one.visits().size(); }) == 1);
}
