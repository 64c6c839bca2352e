#include "deadline_check.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

// Seen in a burst: an engine that answers after 80 ms was sent requests with 30 ms left.
TEST_CASE("a request that cannot be answered in its time is not sent") {
    constexpr milliseconds goal{1'900};
    CHECK(is_hopeless(milliseconds{30}, milliseconds{80}, goal));
    CHECK(is_hopeless(milliseconds{-1}, milliseconds{80}, goal));
    CHECK_FALSE(is_hopeless(milliseconds{60}, milliseconds{80}, goal));
    CHECK_FALSE(is_hopeless(milliseconds{1}, std::nullopt, goal));
}

// Else a service that was slow would never be tried again by requests with little time.
TEST_CASE("a service that was slow is still tried by requests with short limits") {
    CHECK_FALSE(is_hopeless(milliseconds{400}, milliseconds{2'000}, milliseconds{1'000}));
}
