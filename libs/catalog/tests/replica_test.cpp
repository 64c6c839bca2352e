#include "catalog/replica.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace boragefront;
using namespace boragefront::catalog;

namespace {

const time_point start{seconds{1'000}};

std::optional<std::string> value_of(const replica& held, const std::string& key) {
    const auto found = held.items().find(key);
    return found == held.items().end() ? std::nullopt : found->second.value;
}

} // namespace

TEST_CASE("an older write never replaces a newer one") {
    replica held;
    CHECK(held.apply_changes({{"a", 7, "new"}}, 7, start));
    CHECK_FALSE(held.apply_changes({{"a", 5, "old"}}, 9, start));
    CHECK(value_of(held, "a") == "new");
    CHECK(held.through() == 9);
}

TEST_CASE("a listing removes what it lacks, but not what is newer than it") {
    replica held;
    held.apply_changes({{"a", 3, "x"}, {"b", 12, "y"}}, 12, start);
    CHECK(held.apply_listing({}, 10, start));
    CHECK_FALSE(value_of(held, "a").has_value());
    CHECK(value_of(held, "b") == "y");
}

TEST_CASE("a removal is not undone by a listing that was read before it") {
    replica held;
    held.apply_changes({{"a", 3, "x"}}, 3, start);
    held.apply_changes({{"a", 8, std::nullopt}}, 8, start);
    held.apply_listing({{"a", 3, "x"}}, 6, start);
    CHECK_FALSE(value_of(held, "a").has_value());
}

TEST_CASE("a peer that lags learns the changes, removals among them") {
    replica ahead;
    ahead.apply_changes({{"a", 3, "x"}, {"b", 4, "y"}}, 4, start);
    replica behind;
    behind.apply(ahead.changes_since(behind.through()), start);
    ahead.apply_changes({{"a", 6, std::nullopt}, {"c", 7, "z"}}, 7, start);
    const auto delta = ahead.changes_since(behind.through());
    CHECK_FALSE(delta.whole);
    CHECK(delta.items.size() == 2);
    CHECK(behind.apply(delta, start));
    CHECK_FALSE(value_of(behind, "a").has_value());
    CHECK(value_of(behind, "c") == "z");
}

TEST_CASE("a peer that lags behind forgotten removals gets everything") {
    replica ahead;
    ahead.apply_changes({{"a", 3, "x"}, {"b", 4, "y"}}, 4, start);
    replica behind;
    behind.apply(ahead.changes_since(0), start);
    ahead.apply_changes({{"a", 6, std::nullopt}}, 6, start);
    ahead.forget_removals(start + seconds{1});
    const auto delta = ahead.changes_since(behind.through());
    CHECK(delta.whole);
    behind.apply(delta, start);
    CHECK_FALSE(value_of(behind, "a").has_value());
    CHECK(value_of(behind, "b") == "y");
}

TEST_CASE("replicas that hear the same changes in any order end alike") {
    const auto seed = GENERATE(range(1U, 40U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    std::vector<published_item> history;
    for (revision at = 1; at <= 60; ++at) {
        const bool removed = random() % 4 == 0;
        history.push_back({"key" + std::to_string(random() % 6), at,
                           removed ? std::nullopt : std::optional{std::to_string(at)}});
    }
    replica in_order;
    in_order.apply_changes(history, 60, start);
    auto shuffled = history;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    replica other;
    for (const auto& item : shuffled) {
        other.apply_changes({item}, item.at, start);
    }
    REQUIRE(in_order.items().size() == other.items().size());
    for (const auto& [key, held] : in_order.items()) {
        CHECK(value_of(other, key) == held.value);
    }
}
