#include "longest_recent.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

TEST_CASE("the longest duration is remembered for one to two periods") {
    longest_recent longest;
    const time_point start{seconds{1'000}};
    CHECK_FALSE(longest.value(start));
    longest.record(milliseconds{700}, start);
    longest.record(milliseconds{300}, start + seconds{1});
    CHECK(longest.value(start + seconds{2}) == milliseconds{700});
    longest.record(milliseconds{200}, start + seconds{31});
    CHECK(longest.value(start + seconds{32}) == milliseconds{700});
    CHECK(longest.value(start + seconds{62}) == milliseconds{200});
    CHECK_FALSE(longest.value(start + seconds{200}));
}
