// Which callers an overload may cost, and how soon they are told.
#include "overload_simulation.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::stages;

// 44 pieces per second arrive, so all can be served, if not all in time.
TEST_CASE("without an overload nobody is refused", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    const auto counts = overload_simulation{{17.5}, seed}.run(seconds{30});
    INFO("seed " << seed << ": on time " << counts.on_time << ", refused " << counts.refused
                 << " of " << counts.requested);
    CHECK(counts.refused == 0);
}

// 30 pieces per second arrive, and 100 in a burst of 1.5 s. What it leaves behind can be served
// late.
TEST_CASE("a burst of 1.5 s makes nobody refused", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    const arrival_rate rate{12, 40, seconds{5}, milliseconds{1'500}};
    const auto counts = overload_simulation{rate, seed}.run(seconds{20});
    INFO("seed " << seed << ": on time " << counts.on_time << ", refused " << counts.refused
                 << " of " << counts.requested);
    CHECK(counts.refused == 0);
}

// 87 pieces per second arrive. Who cannot be served in time is told by the time of the goal.
TEST_CASE("in an overload nobody waits beyond the goal to be refused", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    const auto counts = overload_simulation{{35}, seed}.run(seconds{30});
    REQUIRE_FALSE(counts.refusal_times.empty());
    const auto longest =
        *std::max_element(counts.refusal_times.begin(), counts.refusal_times.end());
    INFO("seed " << seed << ": told after at most " << longest.count() << " ms");
    CHECK(longest <= latency_goal + milliseconds{100});
}
