#include "catalog/registration.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::catalog;

namespace {
const time_point start{seconds{1'000}};
}

TEST_CASE("a registration that is missing is withdrawn after its grace period") {
    endpoint one;
    CHECK(status_of(one, start) == registration_status::ready);
    one.removed_at = start;
    CHECK(status_of(one, start) == registration_status::missing);
    CHECK(status_of(one, start + milliseconds{1'199}) == registration_status::missing);
    CHECK(status_of(one, start + milliseconds{1'200}) == registration_status::withdrawn);
    one.removed_at.reset();
    CHECK(status_of(one, start + seconds{9}) == registration_status::ready);
}

TEST_CASE("a draining endpoint has no grace period") {
    endpoint one;
    one.state = endpoint_state::draining;
    CHECK(status_of(one, start) == registration_status::withdrawn);
    one.removed_at = start;
    CHECK(status_of(one, start) == registration_status::withdrawn);
}
