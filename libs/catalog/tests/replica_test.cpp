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

std::optional<std::string> value_of(const replica& copy, const std::string& key) {
    const auto found = copy.items().find(key);
    return found == copy.items().end() ? std::nullopt : found->second.value;
}

} // namespace

TEST_CASE("an older write never replaces a newer one") {
    replica copy;
    CHECK(copy.apply_changes({{"a", 7, "new"}}, 7, start));
    CHECK_FALSE(copy.apply_changes({{"a", 5, "old"}}, 9, start));
    CHECK(value_of(copy, "a") == "new");
    CHECK(copy.through() == 9);
}

TEST_CASE("a listing removes keys that it lacks unless they are newer") {
    replica copy;
    copy.apply_changes({{"a", 3, "x"}, {"b", 12, "y"}}, 12, start);
    CHECK(copy.apply_listing({}, 10, start));
    CHECK_FALSE(value_of(copy, "a").has_value());
    CHECK(value_of(copy, "b") == "y");
}

TEST_CASE("an older listing does not undo a removal") {
    replica copy;
    copy.apply_changes({{"a", 3, "x"}}, 3, start);
    copy.apply_changes({{"a", 8, std::nullopt}}, 8, start);
    copy.apply_listing({{"a", 3, "x"}}, 6, start);
    CHECK_FALSE(value_of(copy, "a").has_value());
}

TEST_CASE("a lagging peer receives the changes, including removals") {
    replica ahead;
    ahead.apply_changes({{"a", 3, "x"}, {"b", 4, "y"}}, 4, start);
    replica lagging;
    lagging.apply_delta(ahead.changes_since(lagging.through()), start);
    ahead.apply_changes({{"a", 6, std::nullopt}, {"c", 7, "z"}}, 7, start);
    const auto delta = ahead.changes_since(lagging.through());
    CHECK_FALSE(delta.is_full);
    CHECK(delta.items.size() == 2);
    CHECK(lagging.apply_delta(delta, start));
    CHECK_FALSE(value_of(lagging, "a").has_value());
    CHECK(value_of(lagging, "c") == "z");
}

TEST_CASE("a peer that lags behind purged tombstones receives all keys") {
    replica ahead;
    ahead.apply_changes({{"a", 3, "x"}, {"b", 4, "y"}}, 4, start);
    replica lagging;
    lagging.apply_delta(ahead.changes_since(0), start);
    ahead.apply_changes({{"a", 6, std::nullopt}}, 6, start);
    ahead.purge_tombstones(start + seconds{1});
    const auto delta = ahead.changes_since(lagging.through());
    CHECK(delta.is_full);
    lagging.apply_delta(delta, start);
    CHECK_FALSE(value_of(lagging, "a").has_value());
    CHECK(value_of(lagging, "b") == "y");
}

// Guards against a lost change when the store compacts its history just after a watch missed it.
TEST_CASE("an empty watch response does not skip a missed change") {
    replica copy;
    copy.apply_listing({{"config", 3, "v1"}}, 5, start);
    CHECK_FALSE(copy.apply_watch_response({}, 9, start)); // "v2" was written at 8 and missed
    CHECK(copy.through() == 5);
    CHECK(copy.apply_watch_response({{"config", 8, "v2"}}, 10, start));
    CHECK(copy.through() == 10);
    CHECK(value_of(copy, "config") == "v2");
}

// Guards against a key that stays on a peer without access to the store, when its only source is an
// entry that restarted and listed the store after the removal.
TEST_CASE("a removal before a listing reaches a lagging peer") {
    replica lagging;
    lagging.apply_listing({{"left", 3, "ready"}, {"stays", 4, "ready"}}, 5, start);
    replica restarted;
    restarted.apply_listing({{"stays", 4, "ready"}}, 9, start); // "left" was removed at 7
    lagging.apply_delta(restarted.changes_since(lagging.through()), start);
    CHECK(lagging.through() == 9);
    CHECK_FALSE(value_of(lagging, "left").has_value());
    CHECK(value_of(lagging, "stays") == "ready");
}

TEST_CASE("a key written and removed between two listings does not stay on a peer") {
    replica lagging;
    lagging.apply_listing({{"stays", 4, "ready"}}, 5, start);
    lagging.apply_changes({{"brief", 6, "ready"}}, 6, start); // removed at 8
    replica relisted;
    relisted.apply_listing({{"stays", 4, "ready"}}, 5, start);
    relisted.apply_listing({{"stays", 4, "ready"}}, 9, start);
    lagging.apply_delta(relisted.changes_since(lagging.through()), start);
    CHECK_FALSE(value_of(lagging, "brief").has_value());
}

TEST_CASE("changes after a listing are sent as a delta") {
    replica ahead;
    ahead.apply_listing({{"a", 3, "x"}}, 5, start);
    ahead.apply_changes({{"b", 7, "y"}}, 7, start);
    const auto delta = ahead.changes_since(6);
    CHECK_FALSE(delta.is_full);
    CHECK(delta.items.size() == 1);
}

// Covers a fleet in which some entries watch the store, some restart and list it, and some receive
// deltas from those entries only.
TEST_CASE("a replica that receives deltas from others matches its source") {
    const auto seed = GENERATE(range(1U, 60U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    std::map<std::string, published_item> live;
    replica watching;
    replica listing;
    replica receiving;
    std::vector<published_item> unwatched; // not yet delivered to the watch
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
        unwatched.push_back(written);
        if (random() % 4 == 0) {
            watching.apply_watch_response(std::exchange(unwatched, {}), at, start);
        }
        if (random() % 9 == 0) {
            std::vector<published_item> all;
            all.reserve(live.size());
            for (const auto& [name, item] : live) {
                all.push_back(item);
            }
            if (random() % 2 == 0) {
                listing = replica{}; // restart
            }
            listing.apply_listing(all, at, start);
        }
        if (random() % 5 == 0) {
            const auto& source = random() % 2 == 0 ? watching : listing;
            if (receiving.apply_delta(source.changes_since(receiving.through()), start)) {
                REQUIRE(receiving.through() == source.through());
                for (const auto& [name, item] : receiving.items()) {
                    CHECK(item.value == value_of(source, name));
                }
                for (const auto& [name, item] : source.items()) {
                    CHECK(item.value == value_of(receiving, name));
                }
            }
        }
    }
}

TEST_CASE("values that a peer already has are not sent again") {
    replica restarted;
    restarted.apply_listing({{"a", 3, "long value"}, {"b", 8, "new"}}, 9, start);
    const auto delta = restarted.changes_since(5);
    REQUIRE(delta.is_full);
    REQUIRE(delta.items.size() == 2);
    CHECK_FALSE(delta.items[0].value.has_value());
    CHECK(delta.items[1].value == "new");
}

TEST_CASE("replicas that apply the same changes in any order converge") {
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
    for (const auto& [key, item] : in_order.items()) {
        CHECK(value_of(other, key) == item.value);
    }
}
