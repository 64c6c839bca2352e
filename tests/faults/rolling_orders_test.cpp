/// \file
/// A rolling restart refuses no order either.
#include "src/rolling_restart.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

TEST_CASE("a rolling restart of all entries and sidecars under load refuses no order",
          "[invariant]") {
    const auto deployment = start_deployment({.order_service_ms = 20});
    const auto answers = restart_all_under_load(*deployment);
    const auto judged = judge(*deployment, answers);
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
    for (const auto& answer : answers) {
        INFO(answer.asked.service << ' ' << answer.status << ' ' << answer.kind << ' '
                                  << answer.detail);
        REQUIRE(answer.whole);
    }
}
