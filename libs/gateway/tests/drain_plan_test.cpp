#include "gateway/drain_plan.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {
const time_point start{seconds{1'000}};
}

// Guards against refusing requests needlessly in a rolling restart: while no entry of the fleet is
// ready, the load balancer sends to all of them.
TEST_CASE("a draining entry accepts requests that it can answer before it exits") {
    const auto plan = drain_plan::make(start, seconds{8});
    constexpr milliseconds chat_duration{15'000};
    CHECK(plan.accepts(chat_duration, start + seconds{2}));
    CHECK_FALSE(plan.accepts(chat_duration, start + seconds{3}));
    CHECK(plan.accepts(milliseconds{600}, start + seconds{6}));
    CHECK_FALSE(plan.accepts(milliseconds{600}, start + seconds{7}));
}

TEST_CASE("the drain ends within the grace period, however short", "[invariant]") {
    for (const auto grace : {seconds{1}, seconds{3}, seconds{8}, seconds{30}}) {
        const auto plan = drain_plan::make(start, grace);
        CHECK(plan.exit_at() <= start + grace);
        CHECK(plan.withdrawn_at() <= plan.exit_at());
    }
}

TEST_CASE("refused callers retry when the successor is serving, or soon at another entry") {
    const auto plan = drain_plan::make(start, seconds{8});
    CHECK(plan.retry_after(false, start + seconds{3}) > seconds{4});
    CHECK(plan.retry_after(false, start + seconds{3}) < seconds{6});
    // The load balancer checks readiness once a second.
    CHECK(plan.retry_after(true, start + seconds{3}) <= seconds{1});
}

TEST_CASE("after the initial period no request is accepted that may outlast the exit",
          "[invariant]") {
    const auto plan = drain_plan::make(start, seconds{8});
    for (milliseconds elapsed{3'000}; elapsed < milliseconds{8'000}; elapsed += milliseconds{100}) {
        for (milliseconds max_duration{100}; max_duration < milliseconds{15'000};
             max_duration *= 2) {
            CHECK((!plan.accepts(max_duration, start + elapsed) ||
                   start + elapsed + max_duration < plan.exit_at()));
        }
    }
}
