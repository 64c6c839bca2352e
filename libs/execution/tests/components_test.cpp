/// \file
/// Deadline plan, recent latencies, token order and workspace limits.
#include "execution/deadline_plan.hpp"
#include "execution/recent_latency.hpp"
#include "execution/token_sequence.hpp"
#include "execution/workspace_limiter.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace boragefront;
using namespace boragefront::execution;

namespace {

const time_point start{seconds{100}};

stage_estimate estimate(int low_ms, int high_ms) {
    return {milliseconds{low_ms}, milliseconds{high_ms}, milliseconds{high_ms}};
}

} // namespace

TEST_CASE("the remaining time is divided in proportion to the high quantiles") {
    const std::array stages{estimate(10, 100), estimate(50, 300)};
    const auto times = plan_stage(stages, start, start + milliseconds{1'000});
    REQUIRE(times.share == milliseconds{250});
    REQUIRE(times.deadline == start + milliseconds{950});
}

TEST_CASE("the remaining time is divided evenly if a stage has no estimate") {
    const std::array stages{stage_estimate{}, estimate(50, 300)};
    const auto times = plan_stage(stages, start, start + milliseconds{1'000});
    REQUIRE(times.share == milliseconds{500});
}

TEST_CASE("a deadline is infeasible only if even the low quantiles would miss it") {
    const std::array stages{estimate(100, 1'000), estimate(200, 2'000)};
    REQUIRE(is_infeasible(stages, start, start + milliseconds{300}));
    REQUIRE_FALSE(is_infeasible(stages, start, start + milliseconds{301}));
    const std::array unknown{stage_estimate{}};
    REQUIRE_FALSE(is_infeasible(unknown, start, start + milliseconds{1}));
    REQUIRE(is_infeasible(unknown, start, start));
}

TEST_CASE("the stall timeout uses at most half of the available time") {
    REQUIRE(stall_timeout({}, milliseconds{600}) == milliseconds{300});
    REQUIRE(stall_timeout({}, seconds{10}) == seconds{1});
    REQUIRE(stall_timeout(estimate(1, 20), seconds{10}) == milliseconds{250});
    REQUIRE(stall_timeout(estimate(1, 500), seconds{10}) == milliseconds{1'500});
    REQUIRE(stall_timeout(estimate(1, 500), seconds{2}) == seconds{1});
}

TEST_CASE("old latencies expire, so that estimates recover") {
    recent_latency latency;
    REQUIRE_FALSE(latency.quantile(0.5, start));
    for (int i = 1; i <= 100; ++i) {
        latency.record(milliseconds{i}, start);
    }
    REQUIRE(latency.quantile(0.5, start) == duration{milliseconds{50}});
    REQUIRE(latency.quantile(1.0, start) == duration{milliseconds{100}});
    REQUIRE_FALSE(latency.quantile(0.5, start + seconds{61}));
}

TEST_CASE("tokens are forwarded once and in order") {
    token_sequence tokens;
    REQUIRE(tokens.accept(0).value());
    REQUIRE_FALSE(tokens.accept(0).value());
    REQUIRE(tokens.accept(1).value());
    REQUIRE(tokens.accept(3).error().kind == error_kind::incomplete_answer);
    REQUIRE(tokens.end(2));
    REQUIRE(tokens.end(3).error().kind == error_kind::incomplete_answer);
}

TEST_CASE("the rate and the requests in flight of a workspace are limited") {
    workspace_limiter limiter;
    const workspace_limits limits{2.0, 3};
    REQUIRE(limiter.admit(limits, start));
    REQUIRE(limiter.admit(limits, start));
    REQUIRE(limiter.admit(limits, start).error().kind == error_kind::over_limit);
    REQUIRE(limiter.admit(limits, start + seconds{1}));
    REQUIRE(limiter.in_flight() == 3);
    REQUIRE(limiter.admit(limits, start + seconds{9}).error().kind == error_kind::over_limit);
    limiter.release();
    REQUIRE(limiter.admit(limits, start + seconds{9}));
    workspace_limiter unlimited;
    for (int i = 0; i < 1'000; ++i) {
        REQUIRE(unlimited.admit({}, start));
    }
}
