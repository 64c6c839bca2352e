#include "duplicate_response_filter.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;
using stages::piece_outcome;
using stages::piece_result;

namespace {

const time_point start{seconds{1'000}};

std::vector<piece_result> made(const std::string& first, const std::string& second) {
    return {piece_result{piece_outcome::made, first}, piece_result{piece_outcome::made, second}};
}

} // namespace

TEST_CASE("trouble: a second copy of an answer for pieces is known by its handles") {
    answer_copies copies;
    copies.note(made("maker/a", "maker/b"), start);
    CHECK(copies.is_copy(made("maker/a", "maker/b")));
    CHECK(copies.is_copy(made("maker/c", "maker/b")));
    CHECK_FALSE(copies.is_copy(made("maker/c", "maker/d")));
    CHECK_FALSE(copies.is_copy(made("another/a", "another/b")));
}

TEST_CASE("results that were not made are no copies of each other") {
    answer_copies copies;
    const std::vector<piece_result> refused{piece_result{piece_outcome::no_room, ""}};
    copies.note(refused, start);
    CHECK_FALSE(copies.is_copy(refused));
}

TEST_CASE("handles are forgotten") {
    answer_copies copies;
    copies.note(made("maker/a", "maker/b"), start);
    copies.note(made("maker/c", "maker/d"), start + seconds{60});
    CHECK_FALSE(copies.is_copy(made("maker/a", "maker/b")));
    CHECK(copies.is_copy(made("maker/c", "maker/e")));
}
