#include "deadline_check.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

// Guards against sending requests with 30 ms left to an engine that responds after 80 ms, as
// observed in a burst.
TEST_CASE("a request that cannot be answered before its deadline is not sent") {
    constexpr milliseconds goal{1'900};
    CHECK(is_too_late_to_send(milliseconds{30}, milliseconds{80}, goal));
    CHECK(is_too_late_to_send(milliseconds{-1}, milliseconds{80}, goal));
    CHECK_FALSE(is_too_late_to_send(milliseconds{60}, milliseconds{80}, goal));
    CHECK_FALSE(is_too_late_to_send(milliseconds{1}, std::nullopt, goal));
}

// Guards against a service that was slow once never being tried again by requests with short
// deadlines.
TEST_CASE("a service that was slow is still tried by requests with short deadlines") {
    CHECK_FALSE(is_too_late_to_send(milliseconds{400}, milliseconds{2'000}, milliseconds{1'000}));
}
