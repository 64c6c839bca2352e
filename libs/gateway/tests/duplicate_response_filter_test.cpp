#include "duplicate_response_filter.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;
using stages::piece_outcome;
using stages::piece_result;

namespace {

const time_point start{seconds{1'000}};

std::vector<piece_result> make_results(const std::string& first, const std::string& second) {
    return {piece_result{piece_outcome::made, first}, piece_result{piece_outcome::made, second}};
}

} // namespace

TEST_CASE("trouble: a duplicate response is detected by its handles") {
    duplicate_response_filter filter;
    filter.record(make_results("maker/a", "maker/b"), start);
    CHECK(filter.is_duplicate(make_results("maker/a", "maker/b")));
    CHECK(filter.is_duplicate(make_results("maker/c", "maker/b")));
    CHECK_FALSE(filter.is_duplicate(make_results("maker/c", "maker/d")));
    CHECK_FALSE(filter.is_duplicate(make_results("another/a", "another/b")));
}

// Guards against a request that is given one result for two of its pieces.
TEST_CASE("trouble: a response that names a result twice is detected") {
    const duplicate_response_filter filter;
    CHECK(filter.is_duplicate(make_results("maker/a", "maker/a")));
    CHECK_FALSE(filter.is_duplicate(make_results("maker/a", "maker/b")));
    CHECK_FALSE(filter.is_duplicate(make_results("", "")));
}

TEST_CASE("results without handles are not duplicates of each other") {
    duplicate_response_filter filter;
    const std::vector<piece_result> refused{piece_result{piece_outcome::no_room, ""}};
    filter.record(refused, start);
    CHECK_FALSE(filter.is_duplicate(refused));
}

TEST_CASE("handles expire") {
    duplicate_response_filter filter;
    filter.record(make_results("maker/a", "maker/b"), start);
    filter.record(make_results("maker/c", "maker/d"), start + seconds{60});
    CHECK_FALSE(filter.is_duplicate(make_results("maker/a", "maker/b")));
    CHECK(filter.is_duplicate(make_results("maker/c", "maker/e")));
}
