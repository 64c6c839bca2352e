#include "catalog/replica.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <utility>

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
    behind.apply_delta(ahead.changes_since(behind.through()), start);
    ahead.apply_changes({{"a", 6, std::nullopt}, {"c", 7, "z"}}, 7, start);
    const auto delta = ahead.changes_since(behind.through());
    CHECK_FALSE(delta.is_full);
    CHECK(delta.items.size() == 2);
    CHECK(behind.apply_delta(delta, start));
    CHECK_FALSE(value_of(behind, "a").has_value());
    CHECK(value_of(behind, "c") == "z");
}

TEST_CASE("a peer that lags behind forgotten removals gets everything") {
    replica ahead;
    ahead.apply_changes({{"a", 3, "x"}, {"b", 4, "y"}}, 4, start);
    replica behind;
    behind.apply_delta(ahead.changes_since(0), start);
    ahead.apply_changes({{"a", 6, std::nullopt}}, 6, start);
    ahead.purge_tombstones(start + seconds{1});
    const auto delta = ahead.changes_since(behind.through());
    CHECK(delta.is_full);
    behind.apply_delta(delta, start);
    CHECK_FALSE(value_of(behind, "a").has_value());
    CHECK(value_of(behind, "b") == "y");
}

// The pattern of a store that drops its history just after a watch missed a change.
TEST_CASE("a watch without changes does not move past a change that it missed") {
    replica held;
    held.apply_listing({{"config", 3, "v1"}}, 5, start);
    CHECK_FALSE(held.apply_watch_response({}, 9, start)); // "v2" was written at 8, unheard
    CHECK(held.through() == 5);
    CHECK(held.apply_watch_response({{"config", 8, "v2"}}, 10, start));
    CHECK(held.through() == 10);
    CHECK(value_of(held, "config") == "v2");
}

// The pattern of an entry that restarts, lists, and tells a peer which the store turns away.
TEST_CASE("a removal that a listing cannot show reaches a peer that lags") {
    replica behind;
    behind.apply_listing({{"left", 3, "ready"}, {"stays", 4, "ready"}}, 5, start);
    replica restarted;
    restarted.apply_listing({{"stays", 4, "ready"}}, 9, start); // "left" was removed at 7
    behind.apply_delta(restarted.changes_since(behind.through()), start);
    CHECK(behind.through() == 9);
    CHECK_FALSE(value_of(behind, "left").has_value());
    CHECK(value_of(behind, "stays") == "ready");
}

TEST_CASE("what was written and removed before a second listing reaches no peer as present") {
    replica behind;
    behind.apply_listing({{"stays", 4, "ready"}}, 5, start);
    behind.apply_changes({{"brief", 6, "ready"}}, 6, start); // removed at 8
    replica relisted;
    relisted.apply_listing({{"stays", 4, "ready"}}, 5, start);
    relisted.apply_listing({{"stays", 4, "ready"}}, 9, start);
    behind.apply_delta(relisted.changes_since(behind.through()), start);
    CHECK_FALSE(value_of(behind, "brief").has_value());
}

TEST_CASE("changes after a listing travel as changes") {
    replica ahead;
    ahead.apply_listing({{"a", 3, "x"}}, 5, start);
    ahead.apply_changes({{"b", 7, "y"}}, 7, start);
    const auto delta = ahead.changes_since(6);
    CHECK_FALSE(delta.is_full);
    CHECK(delta.items.size() == 1);
}

// The pattern of a fleet in which some follow the store, some restart and list it, and some learn
// from these alone.
TEST_CASE("a replica that learns from others holds what the store held") {
    const auto seed = GENERATE(range(1U, 60U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    std::map<std::string, published_item> live;
    replica watching;
    replica listing;
    replica learning;
    std::vector<published_item> unheard; // by the watch
    for (revision at = 1; at <= 400; ++at) {
        const auto key = "key" + std::to_string(random() % 12);
        const bool removed = random() % 3 == 0;
        const published_item written{key, at,
                                     removed ? std::nullopt : std::optional{std::to_string(at)}};
        if (removed) {
            live.erase(key);
        } else {
            live[key] = written;
        }
        unheard.push_back(written);
        if (random() % 4 == 0) {
            watching.apply_watch_response(std::exchange(unheard, {}), at, start);
        }
        if (random() % 9 == 0) {
            std::vector<published_item> all;
            all.reserve(live.size());
            for (const auto& [name, item] : live) {
                all.push_back(item);
            }
            if (random() % 2 == 0) {
                listing = replica{}; // it restarted
            }
            listing.apply_listing(all, at, start);
        }
        if (random() % 5 == 0) {
            const auto& teacher = random() % 2 == 0 ? watching : listing;
            if (learning.apply_delta(teacher.changes_since(learning.through()), start)) {
                REQUIRE(learning.through() == teacher.through());
                for (const auto& [name, held] : learning.items()) {
                    CHECK(held.value == value_of(teacher, name));
                }
                for (const auto& [name, held] : teacher.items()) {
                    CHECK(held.value == value_of(learning, name));
                }
            }
        }
    }
}

TEST_CASE("what a peer holds already is not sent to it again") {
    replica restarted;
    restarted.apply_listing({{"a", 3, "long value"}, {"b", 8, "new"}}, 9, start);
    const auto delta = restarted.changes_since(5);
    REQUIRE(delta.is_full);
    REQUIRE(delta.items.size() == 2);
    CHECK_FALSE(delta.items[0].value.has_value());
    CHECK(delta.items[1].value == "new");
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
        other.apply_changes({item}, item.mod_revision, start);
    }
    REQUIRE(in_order.items().size() == other.items().size());
    for (const auto& [key, held] : in_order.items()) {
        CHECK(value_of(other, key) == held.value);
    }
}
