/// \file
#include "membership/failure_detector.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::membership;

TEST_CASE(
    "consecutive failures suspect an instance for a limited time, and one success clears it") {
    const time_point now{seconds{100}};
    failure_detector detector;
    detector.on_failure("a", now);
    detector.on_failure("a", now);
    REQUIRE_FALSE(detector.is_suspected("a", now));
    detector.on_failure("a", now);
    REQUIRE(detector.is_suspected("a", now));
    REQUIRE_FALSE(detector.is_suspected("b", now));
    REQUIRE_FALSE(detector.is_suspected("a", now + seconds{10}));
    detector.on_success("a");
    REQUIRE_FALSE(detector.is_suspected("a", now));
}

TEST_CASE("a timeout suspects an instance immediately, and a refusal excludes it briefly") {
    const time_point now{seconds{100}};
    failure_detector detector;
    detector.on_timeout("silent", now);
    detector.on_refusal("leaving", now);
    REQUIRE(detector.is_suspected("silent", now));
    REQUIRE(detector.is_refusing("leaving", now));
    REQUIRE_FALSE(detector.is_suspected("leaving", now));
    REQUIRE_FALSE(detector.is_refusing("leaving", now + seconds{1}));
}
