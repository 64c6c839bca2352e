/// \file
/// The smaller decisions: deadline plan, latencies, token order, workspace gate.
#include "execution/deadline_plan.hpp"
#include "execution/recent_latency.hpp"
#include "execution/token_sequence.hpp"
#include "execution/workspace_gate.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace boragefront;
using namespace boragefront::execution;

namespace {

const time_point start{seconds{100}};

stage_estimate estimate(int fastest_ms, int high_ms) {
    return {milliseconds{fastest_ms}, milliseconds{high_ms}, milliseconds{high_ms}};
}

} // namespace

TEST_CASE("stages share the deadline by their high quantiles") {
    const std::array stages{estimate(10, 100), estimate(50, 300)};
    const auto times = plan_stage(stages, start, start + milliseconds{1'000});
    REQUIRE(times.share == milliseconds{250});
    REQUIRE(times.deadline == start + milliseconds{950});
}

TEST_CASE("stages of which nothing is known share evenly") {
    const std::array stages{stage_estimate{}, estimate(50, 300)};
    const auto times = plan_stage(stages, start, start + milliseconds{1'000});
    REQUIRE(times.share == milliseconds{500});
}

TEST_CASE("work is hopeless only if even the fastest answers would be late") {
    const std::array stages{estimate(100, 1'000), estimate(200, 2'000)};
    REQUIRE(is_hopeless(stages, start, start + milliseconds{300}));
    REQUIRE_FALSE(is_hopeless(stages, start, start + milliseconds{301}));
    const std::array unknown{stage_estimate{}};
    REQUIRE_FALSE(is_hopeless(unknown, start, start + milliseconds{1}));
    REQUIRE(is_hopeless(unknown, start, start));
}

TEST_CASE("patience leaves as much time again") {
    REQUIRE(patience_for({}, milliseconds{600}) == milliseconds{300});
    REQUIRE(patience_for({}, seconds{10}) == seconds{1});
    REQUIRE(patience_for(estimate(1, 20), seconds{10}) == milliseconds{250});
    REQUIRE(patience_for(estimate(1, 500), seconds{10}) == milliseconds{1'500});
    REQUIRE(patience_for(estimate(1, 500), seconds{2}) == seconds{1});
}

TEST_CASE("latencies are forgotten, so that estimates recover") {
    recent_latency latency;
    REQUIRE_FALSE(latency.quantile(0.5, start));
    for (int i = 1; i <= 100; ++i) {
        latency.record(milliseconds{i}, start);
    }
    REQUIRE(latency.quantile(0.5, start) == duration{milliseconds{50}});
    REQUIRE(latency.quantile(1.0, start) == duration{milliseconds{100}});
    REQUIRE_FALSE(latency.quantile(0.5, start + seconds{61}));
}

TEST_CASE("tokens pass once and in order") {
    token_sequence tokens;
    REQUIRE(tokens.accept(0).value());
    REQUIRE_FALSE(tokens.accept(0).value());
    REQUIRE(tokens.accept(1).value());
    REQUIRE(tokens.accept(3).error().kind == error_kind::incomplete_answer);
    REQUIRE(tokens.end(2));
    REQUIRE(tokens.end(3).error().kind == error_kind::incomplete_answer);
}

TEST_CASE("a workspace's rate and requests in flight are bounded") {
    workspace_gate gate;
    const workspace_limits limits{2.0, 3};
    REQUIRE(gate.admit(limits, start));
    REQUIRE(gate.admit(limits, start));
    REQUIRE(gate.admit(limits, start).error().kind == error_kind::over_limit);
    REQUIRE(gate.admit(limits, start + seconds{1}));
    REQUIRE(gate.in_flight() == 3);
    REQUIRE(gate.admit(limits, start + seconds{9}).error().kind == error_kind::over_limit);
    gate.release();
    REQUIRE(gate.admit(limits, start + seconds{9}));
    workspace_gate open;
    for (int i = 0; i < 1'000; ++i) {
        REQUIRE(open.admit({}, start));
    }
}
