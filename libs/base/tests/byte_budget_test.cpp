#include "base/byte_budget.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace boragefront;

namespace {

constexpr std::size_t mebibyte = 1U << 20U;

} // namespace

TEST_CASE("leases take no more than the budget together, and give it back") {
    byte_budget budget{8 * mebibyte};
    {
        byte_lease one{budget};
        byte_lease two{budget};
        CHECK(one.resize(3 * mebibyte));
        CHECK_FALSE(two.resize(2 * mebibyte));
        CHECK(two.size() == 0);
        CHECK(two.resize(mebibyte));
        CHECK(budget.used() == 4 * mebibyte);
        CHECK(one.resize(mebibyte));
        CHECK(two.resize(3 * mebibyte));
    }
    CHECK(budget.used() == 0);
}

// Long messages that used up the memory ended the requests of all other callers.
TEST_CASE("small leases are granted while large ones use all that they may") {
    byte_budget budget{8 * mebibyte};
    std::vector<byte_lease> large;
    while (large.emplace_back(budget).resize(mebibyte)) {
    }
    CHECK(budget.used() == 4 * mebibyte);
    std::vector<byte_lease> small;
    while (small.emplace_back(budget).resize(byte_budget::small_lease)) {
    }
    CHECK(budget.used() == 8 * mebibyte);
}

TEST_CASE("a changed limit holds for leases that grow from then on") {
    constexpr std::size_t former_limit = 1'000;
    byte_budget budget{former_limit};
    byte_lease first{budget};
    byte_lease second{budget};
    REQUIRE(first.resize(600));
    budget.set_limit(500);
    CHECK(budget.limit() == 500);
    CHECK(first.size() == 600);
    CHECK_FALSE(second.resize(1));
    budget.set_limit(2'000);
    CHECK(second.resize(1'400));
    CHECK_FALSE(second.resize(1'401));
}

TEST_CASE("a lease that is moved is given back once") {
    byte_budget budget{mebibyte};
    {
        byte_lease one{budget};
        REQUIRE(one.resize(1'000));
        byte_lease two{std::move(one)};
        CHECK(budget.used() == 1'000);
        byte_lease three{budget};
        REQUIRE(three.resize(500));
        three = std::move(two);
        CHECK(three.size() == 1'000);
    }
    CHECK(budget.used() == 0);
}
