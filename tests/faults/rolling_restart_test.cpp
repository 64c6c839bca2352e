/// \file
/// Every planned stop is a graceful shutdown that cuts no request.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

constexpr seconds settling_time{2}; ///< for the other entries to use it again too

void restart_gracefully(daemon_node& node, running_load& load) {
    INFO(node.id());
    node.terminate();
    const auto status = node.wait_exit(patience);
    REQUIRE(status);
    REQUIRE(*status == 0);
    REQUIRE(node.start());
    load.wait_whole(20);
}

} // namespace

TEST_CASE("a rolling restart of all entries and sidecars under load cuts no request",
          "[invariant]") {
    const auto deployment = start_deployment({.engines = 2, .order_service_ms = 20});
    running_load load{
        *deployment,
        {.mix = {order_request(), stock_request(), draft_request(false), draft_request(true)},
         .callers = 4,
         .seed = 9}};
    load.wait_whole(40);
    for (auto& entry : deployment->entries()) {
        restart_gracefully(*entry.daemon, load);
        REQUIRE(deployment->wait_ready(patience));
    }
    for (auto& slot : deployment->slots()) {
        restart_gracefully(*slot.sidecar, load);
        // As operators do: the next of a pool only when this one works again.
        INFO(slot.spec.id);
        const auto back = steady_clock::now();
        REQUIRE(
            wait_until(patience, [&] { return started_after(*deployment, slot.spec.id, back); }));
        std::this_thread::sleep_for(settling_time);
    }
    const auto answers = load.stop();
    const auto judged = judge(*deployment, answers);
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
    for (const auto& answer : answers) {
        INFO(answer.asked.service << ' ' << answer.status << ' ' << answer.kind << ' '
                                  << answer.detail);
        REQUIRE(answer.whole);
    }
}

TEST_CASE("an entry that says it is ready can serve every service", "[invariant]") {
    const auto deployment = start_deployment({.engines = 1});
    auto& entry = deployment->entry("entry-0");
    blocking_client client;
    for (unsigned round = 0; round < 5; ++round) {
        entry.kill();
        REQUIRE(entry.start());
        REQUIRE(deployment->wait_ready(patience));
        for (auto asked : {order_request(), draft_request(false)}) {
            asked.marker = asked.service + std::to_string(round);
            const auto answer = make_call(client, entry.data_address(), asked);
            INFO(round << ' ' << asked.service << ' ' << answer.kind << ' ' << answer.detail);
            CHECK(answer.whole);
        }
    }
}
