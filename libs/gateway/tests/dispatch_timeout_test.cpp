#include "dispatch_timeout.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

// Answers the pattern of stage endpoints at a fraction of their pace, whose work was made once more
// at another entry's request while they were at it (docs/incidents/inc-1207.md).
TEST_CASE("a dispatcher whose endpoints are slow is waited for, one that lost an answer is not") {
    const auto announced = GENERATE(milliseconds{20}, milliseconds{400}, milliseconds{2'000});
    constexpr int slowest_pace = 4; // seen on that day
    constexpr milliseconds busy{1'000};
    CHECK(overdue_after(announced) > announced * slowest_pace + busy);
    CHECK(overdue_after(announced) <= announced * 10 + seconds{3});
}
