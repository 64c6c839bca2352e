#include "gateway/drain_plan.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {
const time_point start{seconds{1'000}};
}

// Answers the pattern of entries that are stopped one after the other, so that for a while none of
// the fleet is ready and the balancer sends to all of them.
TEST_CASE("a draining entry goes on taking what it can answer before its end") {
    const auto plan = drain_plan::make(start, seconds{8});
    constexpr milliseconds chat{15'000};
    CHECK(plan.takes(chat, start + seconds{2}));
    CHECK_FALSE(plan.takes(chat, start + seconds{3}));
    CHECK(plan.takes(milliseconds{600}, start + seconds{6}));
    CHECK_FALSE(plan.takes(milliseconds{600}, start + seconds{7}));
}

TEST_CASE("it ends within its grace time, however short that is", "[invariant]") {
    for (const auto grace : {seconds{1}, seconds{3}, seconds{8}, seconds{30}}) {
        const auto plan = drain_plan::make(start, grace);
        CHECK(plan.exit_at() <= start + grace);
        CHECK(plan.withdrawn_at() <= plan.exit_at());
    }
}

TEST_CASE("callers are told when the successor should serve, or to go elsewhere soon") {
    const auto plan = drain_plan::make(start, seconds{8});
    CHECK(plan.retry_after(false, start + seconds{3}) > seconds{4});
    CHECK(plan.retry_after(false, start + seconds{3}) < seconds{6});
    // The balancer looks once a second.
    CHECK(plan.retry_after(true, start + seconds{3}) <= seconds{1});
}

TEST_CASE("nothing is taken that may last beyond the end, once callers count on it",
          "[invariant]") {
    const auto plan = drain_plan::make(start, seconds{8});
    for (milliseconds at{3'000}; at < milliseconds{8'000}; at += milliseconds{100}) {
        for (milliseconds longest{100}; longest < milliseconds{15'000}; longest *= 2) {
            CHECK((!plan.takes(longest, start + at) || start + at + longest < plan.exit_at()));
        }
    }
}
