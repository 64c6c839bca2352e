/// \file
/// An accepted configuration is in force everywhere within seconds and never reverts.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

const std::string probe_key = "services/probe";
const std::string probe_value =
    R"({"kind": "plain", "pool": "order-workers", "profile": "orders", "repeatable": true})";

// Whether the probe service is in force at an entry.
bool probe_known(const std::string& entry) {
    static unsigned turn = 0;
    auto asked = stock_request();
    asked.service = "probe";
    asked.marker = "probe " + std::to_string(++turn);
    asked.deadline = milliseconds{1'000};
    blocking_client client;
    const auto answer = make_call(client, entry, asked);
    return answer.status != 0 && answer.kind != "unknown_service" && answer.kind != "not_ready";
}

bool probe_known_everywhere(const cluster& deployment) {
    for (const auto& entry : deployment.entry_addresses()) {
        if (!probe_known(entry)) {
            return false;
        }
    }
    return true;
}

void require_known_in_time(const cluster& deployment) {
    REQUIRE(wait_until(configuration_bound, [&] { return probe_known_everywhere(deployment); }));
}

// Requires that the probe service stays known at every entry for a while.
void require_known_for_good(const cluster& deployment) {
    const auto until = steady_clock::now() + seconds{4};
    while (steady_clock::now() < until) {
        REQUIRE(probe_known_everywhere(deployment));
    }
}

revision publish_probe(cluster& deployment) {
    const auto published = deployment.publish(probe_key, probe_value);
    REQUIRE(published);
    return published.value();
}

} // namespace

TEST_CASE("an older value served after a newer one reverts nothing, also across restarts",
          "[invariant]") {
    const auto deployment = start_deployment({});
    const auto published = publish_probe(*deployment);
    require_known_in_time(*deployment);
    REQUIRE(deployment->platform().set_faults(R"({"stale_at": )" + std::to_string(published - 1) +
                                              "}"));
    require_known_for_good(*deployment);
    for (auto& entry : deployment->entries()) {
        entry.daemon->kill();
        REQUIRE(entry.daemon->start());
        REQUIRE(deployment->wait_ready(patience));
        require_known_for_good(*deployment);
    }
}

TEST_CASE("with the platform down, processes that restart learn from peers", "[invariant]") {
    const auto deployment = start_deployment({});
    publish_probe(*deployment);
    require_known_in_time(*deployment);
    // Settles in the sidecars too before the platform goes.
    std::this_thread::sleep_for(configuration_bound);
    REQUIRE(deployment->platform().set_faults(R"({"down": true})"));
    for (auto& slot : deployment->slots()) {
        slot.sidecar->kill();
        REQUIRE(slot.sidecar->start());
    }
    for (auto& entry : deployment->entries()) {
        entry.daemon->kill();
        REQUIRE(entry.daemon->start());
        REQUIRE(deployment->wait_ready(patience));
    }
    require_known_for_good(*deployment);
    blocking_client client;
    auto asked = stock_request();
    asked.marker = "after restarts";
    REQUIRE(wait_until(patience, [&] {
        return make_call(client, deployment->entry_addresses().front(), asked).whole;
    }));
}

TEST_CASE("an invalid value is refused and the last good one stays in force", "[invariant]") {
    const auto deployment = start_deployment({});
    publish_probe(*deployment);
    require_known_in_time(*deployment);
    publish(*deployment, probe_key, R"({"kind": "pipeline", "stages": 7})");
    publish(*deployment, "services/later", probe_value);
    require_known_for_good(*deployment);
}

TEST_CASE("a process that wakes with old knowledge catches up and reverts nobody", "[invariant]") {
    const auto deployment = start_deployment({});
    auto& frozen = deployment->entry("entry-1");
    frozen.freeze();
    publish_probe(*deployment);
    const auto other = deployment->entry("entry-0").data_address();
    REQUIRE(wait_until(configuration_bound, [&] { return probe_known(other); }));
    frozen.thaw();
    require_known_in_time(*deployment);
    require_known_for_good(*deployment);
}

TEST_CASE("a deleted value stays deleted though a frozen process still holds it", "[invariant]") {
    const auto deployment = start_deployment({});
    publish_probe(*deployment);
    require_known_in_time(*deployment);
    auto& frozen = deployment->entry("entry-1");
    frozen.freeze();
    REQUIRE(deployment->remove(probe_key));
    const auto other = deployment->entry("entry-0").data_address();
    REQUIRE(wait_until(configuration_bound, [&] { return !probe_known(other); }));
    frozen.thaw();
    REQUIRE(wait_until(configuration_bound, [&] { return !probe_known(frozen.data_address()); }));
    const auto until = steady_clock::now() + seconds{3};
    while (steady_clock::now() < until) {
        REQUIRE_FALSE(probe_known(other));
        REQUIRE_FALSE(probe_known(frozen.data_address()));
    }
}

TEST_CASE("operators who publish different keys at once undo nothing of each other",
          "[invariant]") {
    const auto deployment = start_deployment({});
    std::thread one{[&] {
        for (unsigned turn = 0; turn < 20; ++turn) {
            (void)deployment->publish("services/other", probe_value);
        }
    }};
    for (unsigned turn = 0; turn < 20; ++turn) {
        (void)deployment->publish(probe_key, probe_value);
    }
    one.join();
    require_known_in_time(*deployment);
    require_known_for_good(*deployment);
}
