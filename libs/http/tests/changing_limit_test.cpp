#include "../src/changing_limit.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::http;

namespace {

constexpr milliseconds low{2'000};
constexpr milliseconds high{15'000};
constexpr milliseconds instant{1};
constexpr seconds propagation_time{6};

} // namespace

// Guards against a raised limit that reaches only waits that begin later.
TEST_CASE("a raised limit applies to waits in progress") {
    const time_point start{seconds{100}};
    changing_limit limit{low};
    CHECK(limit.longest_since(start) == low);
    limit.replace(high, start + seconds{1});
    CHECK(limit.longest_since(start) == high);
    CHECK(limit.longest_since(start + seconds{2}) == high);
}

// Guards against a lowered limit that applies to waits whose peers can't know it yet.
TEST_CASE("a lowered limit applies to waits that begin after peers know it") {
    const time_point start{seconds{100}};
    changing_limit limit{high};
    limit.replace(low, start);
    CHECK(limit.longest_since(start - instant) == high);
    CHECK(limit.longest_since(start + propagation_time) == high);
    CHECK(limit.longest_since(start + propagation_time + instant) == low);
}

// Guards against changes in series, of which only the last one counts.
TEST_CASE("the longest of several limits applies to a wait") {
    const time_point start{seconds{100}};
    constexpr milliseconds middle{8'000};
    changing_limit limit{low};
    limit.replace(high, start);
    limit.replace(middle, start + seconds{1});
    limit.replace(low, start + seconds{2});
    limit.replace(low, start + seconds{3});
    CHECK(limit.longest_since(start - instant) == high);
    CHECK(limit.longest_since(start + seconds{7}) == high);
    CHECK(limit.longest_since(start + seconds{7} + instant) == middle);
    CHECK(limit.longest_since(start + seconds{8}) == middle);
    CHECK(limit.longest_since(start + seconds{8} + instant) == low);
    // Much later, the earlier limits are forgotten.
    limit.replace(middle, start + seconds{60});
    CHECK(limit.longest_since(start + seconds{60}) == middle);
    CHECK(limit.longest_since(start) == middle);
}
