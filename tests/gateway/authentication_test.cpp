// Who is let in, by the configuration in force.
#include "deployment.hpp"
#include "published_configuration.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

unsigned status_for(deployment& system, const running_gateway& gateway, const std::string& key) {
    auto message = deployment::make_request("plain.example", "r-" + key);
    message.headers.set("Api-Key", key);
    const auto answer = system.call(gateway, std::move(message));
    return answer ? answer.value().status : 0;
}

bool comes_to_answer(deployment& system, const running_gateway& gateway, const std::string& key,
                     unsigned status) {
    const auto until = steady_clock::now() + seconds{20};
    while (status_for(system, gateway, key) != status) {
        if (steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{20});
    }
    return true;
}

} // namespace

// Guards against requests that run with withdrawn or unknown keys once the last workspace is gone.
TEST_CASE("no key is accepted once the last workspace has been withdrawn", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& endpoint = system.add_endpoint("i-1", "plain");
    auto& watching = system.start_ready_gateway();
    auto& told_by_peers = system.start_ready_gateway("127.0.0.1:1"); // no store listens there
    CHECK(status_for(system, watching, "key") == 200);
    CHECK(status_for(system, told_by_peers, "key") == 200);
    system.publish_text(with_workspaces(configuration_text("plain", 8), "[]"));
    REQUIRE(comes_to_answer(system, watching, "key", 401));
    REQUIRE(comes_to_answer(system, told_by_peers, "key", 401));
    auto& started_later = system.start_ready_gateway();
    const auto runs_before = system.on_loop([&] { return endpoint.runs(); });
    for (auto* const gateway : {&watching, &told_by_peers, &started_later}) {
        CHECK(status_for(system, *gateway, "key") == 401);
        CHECK(status_for(system, *gateway, "unknown") == 401);
        CHECK(status_for(system, *gateway, "") == 401);
    }
    CHECK(system.on_loop([&] { return endpoint.runs(); }) == runs_before);
    system.publish_configuration("plain", 9);
    CHECK(comes_to_answer(system, watching, "key", 200));
}

// Guards against a malformed list of workspaces that is read as an empty one or as none.
TEST_CASE("a list of workspaces that cannot be read leaves the last good one in force",
          "[invariant]") {
    deployment system;
    system.publish_configuration();
    system.add_endpoint("i-1", "plain");
    auto& gateway = system.start_ready_gateway();
    const auto malformed =
        GENERATE(as<std::string>{}, "null", "{}", "false", R"([{"name":"team","api_keys":[""]}])");
    INFO(malformed);
    system.publish_text(with_workspaces(configuration_text("plain", 8), malformed));
    const auto& refused = gateway.metrics->get_gauge("boragefront_configurations_refused");
    REQUIRE(system.becomes_true([&] { return refused.value() == 1; }));
    CHECK(status_for(system, gateway, "key") == 200);
    CHECK(status_for(system, gateway, "unknown") == 401);
    CHECK(status_for(system, gateway, "") == 401);
}
