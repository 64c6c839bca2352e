#include "base/error.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;

TEST_CASE("every error kind has its own table row and is found by name") {
    for (int i = 0; i <= static_cast<int>(error_kind::internal); ++i) {
        const auto kind = static_cast<error_kind>(i);
        const auto& row = properties_of(kind);
        REQUIRE(row.kind == kind);
        REQUIRE(parse_error_kind(row.name) == kind);
    }
    REQUIRE_FALSE(parse_error_kind("no_such_kind"));
}

TEST_CASE("a problem document survives a round trip") {
    const auto written =
        make_error(error_kind::bad_request, "found 7, expected 1 to 5", "body.count");
    const auto read = from_problem_json(to_problem_json(written, "some-request"));
    REQUIRE(read);
    REQUIRE(read->kind == written.kind);
    REQUIRE(read->field == written.field);
    REQUIRE(read->ran == work_ran::no);
}

TEST_CASE("text other than a problem document is rejected") {
    REQUIRE_FALSE(from_problem_json("{"));
    REQUIRE_FALSE(from_problem_json("[]"));
    REQUIRE_FALSE(from_problem_json(R"({"kind":"surprise"})"));
}
