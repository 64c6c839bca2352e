#include "dispatch_timeout.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

// Guards against repeating work at slow stage endpoints: while they ran it at a fraction of their
// normal speed, another entry dispatched it again (docs/incidents/inc-1207.md).
TEST_CASE("a dispatcher with slow endpoints is waited for, one whose response was lost is not") {
    const auto expected = GENERATE(milliseconds{20}, milliseconds{400}, milliseconds{2'000});
    constexpr int observed_slowdown = 4; // factor observed in the incident
    constexpr milliseconds busy{1'000};
    CHECK(dispatch_timeout(expected) > expected * observed_slowdown + busy);
    CHECK(dispatch_timeout(expected) <= expected * 10 + seconds{3});
}

// Guards against an entry that is skipped for all services because it does not know one of them.
TEST_CASE("a dispatcher that refuses stage work is not late") {
    CHECK_FALSE(counts_as_late(error_kind::unavailable));
    CHECK(counts_as_late(error_kind::deadline_exceeded));
    CHECK(counts_as_late(error_kind::connection_lost));
}
