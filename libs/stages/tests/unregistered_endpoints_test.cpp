// Endpoints whose registration is missing, on a virtual clock.
#include "queue_fixture.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::stages;

// An endpoint whose registration was missing got calls beyond its grace period, until a new
// snapshot was published.
TEST_CASE_METHOD(queue_fixture,
                 "an unregistered endpoint gets no call after its grace period, without a snapshot",
                 "[invariant]") {
    add_endpoint("one").removed_at = now;
    refresh();
    offer(1, 1);
    const auto within_grace = queue.next_calls(now + milliseconds{500});
    REQUIRE(within_grace.size() == 1);
    now += milliseconds{500};
    complete(within_grace[0]);
    offer(2, 1);
    CHECK(queue.next_calls(now + milliseconds{1'200}).empty());
}

// The same, with another endpoint that is avoided only while others are in service.
TEST_CASE_METHOD(queue_fixture,
                 "an avoided endpoint takes over when an unregistered one leaves service") {
    add_endpoint("missing").removed_at = now;
    add_endpoint("far", "b");
    refresh();
    queue.set_avoided_data_centres({"b"});
    now += milliseconds{1'300};
    offer(1, 1);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "far");
}
