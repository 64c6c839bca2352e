/// \file
/// Every planned stop is a graceful shutdown that cuts no request.
#include "src/rolling_restart.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace boragefront;
using namespace boragefront::faults;

TEST_CASE("a rolling restart of all entries and sidecars under load cuts no request",
          "[invariant]") {
    const auto deployment = start_deployment({.engines = 2, .order_service_ms = 20});
    const auto answers = restart_all_under_load(*deployment);
    const auto judged = judge(*deployment, answers);
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
    std::set<std::string> started;
    for (const auto& start : read_ledgers(deployment->ledgers()).starts) {
        started.insert(start.marker);
    }
    for (const auto& answer : answers) {
        INFO(answer.asked.service << ' ' << answer.status << ' ' << answer.kind << ' '
                                  << answer.detail);
        REQUIRE(answer.status != 0);
        const bool must_be_whole = !answer.asked.order || started.contains(answer.asked.marker);
        REQUIRE((answer.whole || !must_be_whole));
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
