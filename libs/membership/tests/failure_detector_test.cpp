/// \file
#include "membership/failure_detector.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::membership;

TEST_CASE("failures in a row make an instance suspected for a while, one success clears it") {
    const time_point now{seconds{100}};
    failure_detector evidence;
    evidence.on_failure("a", now);
    evidence.on_failure("a", now);
    REQUIRE_FALSE(evidence.is_suspected("a", now));
    evidence.on_failure("a", now);
    REQUIRE(evidence.is_suspected("a", now));
    REQUIRE_FALSE(evidence.is_suspected("b", now));
    REQUIRE_FALSE(evidence.is_suspected("a", now + seconds{10}));
    evidence.on_success("a");
    REQUIRE_FALSE(evidence.is_suspected("a", now));
}

TEST_CASE("silence makes an instance suspected at once, and a refusal for a moment") {
    const time_point now{seconds{100}};
    failure_detector evidence;
    evidence.on_timeout("silent", now);
    evidence.on_refusal("leaving", now);
    REQUIRE(evidence.is_suspected("silent", now));
    REQUIRE(evidence.is_refusing("leaving", now));
    REQUIRE_FALSE(evidence.is_suspected("leaving", now));
    REQUIRE_FALSE(evidence.is_refusing("leaving", now + seconds{1}));
}
