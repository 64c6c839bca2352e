#include "base/ids.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;

TEST_CASE("a UUIDv7 contains its timestamp") {
    random_source random{1};
    const wall_time now{milliseconds{1'764'800'000'123}};
    const auto id = make_uuid7(now, random);
    REQUIRE(uuid7_time(id) == now);
    REQUIRE(make_uuid7(now, random) != id);
}

TEST_CASE("no timestamp is extracted from other identifiers") {
    REQUIRE_FALSE(uuid7_time(""));
    REQUIRE_FALSE(uuid7_time("00000000-0000-4000-8000-000000000000"));
    REQUIRE_FALSE(uuid7_time("zzzzzzzz-0000-7000-8000-000000000000"));
}

TEST_CASE("a work id survives a round trip, and malformed ones are rejected") {
    const work_id id{"r", 2, 1};
    REQUIRE(parse_work_id(to_string(id)) == id);
    for (const auto* text : {"", "/", "r/1", "r//1", "r/1/x", "/1/1", "r/1/99999999999"}) {
        REQUIRE_FALSE(parse_work_id(text));
    }
}
