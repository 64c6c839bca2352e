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

store_position at(revision at, std::uint64_t era = 0) {
    return {era, at};
}

std::optional<std::string> value_of(const replica& copy, const std::string& key) {
    const auto found = copy.items().find(key);
    return found == copy.items().end() ? std::nullopt : found->second.value;
}

} // namespace

TEST_CASE("an older write never replaces a newer one") {
    replica copy;
    CHECK(copy.apply_changes({{"a", at(7), "new"}}, at(7), start));
    CHECK_FALSE(copy.apply_changes({{"a", at(5), "old"}}, at(9), start));
    CHECK(value_of(copy, "a") == "new");
    CHECK(copy.through() == at(9));
}

TEST_CASE("a listing removes keys that it lacks unless they are newer") {
    replica copy;
    copy.apply_changes({{"a", at(3), "x"}, {"b", at(12), "y"}}, at(12), start);
    CHECK(copy.apply_listing({}, at(10), start));
    CHECK_FALSE(value_of(copy, "a").has_value());
    CHECK(value_of(copy, "b") == "y");
}

TEST_CASE("an older listing does not undo a removal") {
    replica copy;
    copy.apply_changes({{"a", at(3), "x"}}, at(3), start);
    copy.apply_changes({{"a", at(8), std::nullopt}}, at(8), start);
    copy.apply_listing({{"a", at(3), "x"}}, at(6), start);
    CHECK_FALSE(value_of(copy, "a").has_value());
}

TEST_CASE("a lagging peer receives the changes, including removals") {
    replica ahead;
    ahead.apply_changes({{"a", at(3), "x"}, {"b", at(4), "y"}}, at(4), start);
    replica lagging;
    lagging.apply_delta(ahead.changes_since(lagging.through()), start);
    ahead.apply_changes({{"a", at(6), std::nullopt}, {"c", at(7), "z"}}, at(7), start);
    const auto delta = ahead.changes_since(lagging.through());
    CHECK_FALSE(delta.is_full);
    CHECK(delta.items.size() == 2);
    CHECK(lagging.apply_delta(delta, start));
    CHECK_FALSE(value_of(lagging, "a").has_value());
    CHECK(value_of(lagging, "c") == "z");
}

TEST_CASE("a peer that lags behind purged tombstones receives all keys") {
    replica ahead;
    ahead.apply_changes({{"a", at(3), "x"}, {"b", at(4), "y"}}, at(4), start);
    replica lagging;
    lagging.apply_delta(ahead.changes_since(at(0)), start);
    ahead.apply_changes({{"a", at(6), std::nullopt}}, at(6), start);
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
    copy.apply_listing({{"config", at(3), "v1"}}, at(5), start);
    CHECK_FALSE(copy.apply_watch_response({}, at(9), start)); // "v2" was written at 8 and missed
    CHECK(copy.through() == at(5));
    CHECK(copy.apply_watch_response({{"config", at(8), "v2"}}, at(10), start));
    CHECK(copy.through() == at(10));
    CHECK(value_of(copy, "config") == "v2");
}

// Guards against a key that stays on a peer without access to the store, when its only source is an
// entry that restarted and listed the store after the removal.
TEST_CASE("a removal before a listing reaches a lagging peer") {
    replica lagging;
    lagging.apply_listing({{"left", at(3), "ready"}, {"stays", at(4), "ready"}}, at(5), start);
    replica restarted;
    restarted.apply_listing({{"stays", at(4), "ready"}}, at(9), start); // "left" was removed at 7
    lagging.apply_delta(restarted.changes_since(lagging.through()), start);
    CHECK(lagging.through() == at(9));
    CHECK_FALSE(value_of(lagging, "left").has_value());
    CHECK(value_of(lagging, "stays") == "ready");
}

TEST_CASE("a key written and removed between two listings does not stay on a peer") {
    replica lagging;
    lagging.apply_listing({{"stays", at(4), "ready"}}, at(5), start);
    lagging.apply_changes({{"brief", at(6), "ready"}}, at(6), start); // removed at 8
    replica relisted;
    relisted.apply_listing({{"stays", at(4), "ready"}}, at(5), start);
    relisted.apply_listing({{"stays", at(4), "ready"}}, at(9), start);
    lagging.apply_delta(relisted.changes_since(lagging.through()), start);
    CHECK_FALSE(value_of(lagging, "brief").has_value());
}

TEST_CASE("changes after a listing are sent as a delta") {
    replica ahead;
    ahead.apply_listing({{"a", at(3), "x"}}, at(5), start);
    ahead.apply_changes({{"b", at(7), "y"}}, at(7), start);
    const auto delta = ahead.changes_since(at(6));
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
    for (revision now = 1; now <= 400; ++now) {
        const auto key = "key" + std::to_string(random() % 12);
        const bool removed = random() % 3 == 0;
        const published_item written{key, at(now),
                                     removed ? std::nullopt : std::optional{std::to_string(now)}};
        if (removed) {
            live.erase(key);
        } else {
            live[key] = written;
        }
        unwatched.push_back(written);
        if (random() % 4 == 0) {
            watching.apply_watch_response(std::exchange(unwatched, {}), at(now), start);
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
            listing.apply_listing(all, at(now), start);
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
    restarted.apply_listing({{"a", at(3), "long value"}, {"b", at(8), "new"}}, at(9), start);
    const auto delta = restarted.changes_since(at(5));
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
    for (revision now = 1; now <= 60; ++now) {
        const bool removed = random() % 4 == 0;
        history.push_back({"key" + std::to_string(random() % 6), at(now),
                           removed ? std::nullopt : std::optional{std::to_string(now)}});
    }
    replica in_order;
    in_order.apply_changes(history, at(60), start);
    auto shuffled = history;
    std::shuffle(shuffled.begin(), shuffled.end(), random);
    replica other;
    for (const auto& item : shuffled) {
        other.apply_changes({item}, item.position, start);
    }
    REQUIRE(in_order.items().size() == other.items().size());
    for (const auto& [key, item] : in_order.items()) {
        CHECK(value_of(other, key) == item.value);
    }
}

namespace {

constexpr milliseconds grace{2'500};

} // namespace

// Guards against changes of a restored store that are ignored until its numbering has passed the
// old one.
TEST_CASE("a later era replaces whatever its revisions say") {
    replica copy;
    copy.apply_listing({{"config", at(90, 1), "v2"}}, at(100, 1), start);
    CHECK(copy.apply_listing({{"config", at(40, 2), "v1"}}, at(50, 2), start));
    CHECK(copy.through() == at(50, 2));
    CHECK(value_of(copy, "config") == "v1");
    CHECK(copy.apply_watch_response({{"config", at(51, 2), "v3"}}, at(51, 2), start));
    CHECK(value_of(copy, "config") == "v3");
}

// Guards against an answer of the time before the store was restored that arrives late.
TEST_CASE("an answer of an earlier era changes nothing") {
    replica copy;
    copy.apply_listing({{"a", at(40, 2), "new"}}, at(50, 2), start);
    CHECK_FALSE(
        copy.apply_listing({{"a", at(90, 1), "old"}, {"b", at(91, 1), "old"}}, at(100, 1), start));
    CHECK_FALSE(copy.apply_watch_response({{"b", at(91, 1), "old"}}, at(100, 1), start));
    CHECK_FALSE(copy.apply_delta({true, at(100, 1), {{"b", at(91, 1), "old"}}}, start));
    CHECK_FALSE(copy.apply_delta({true, at(100), {{"b", at(91), "old"}}}, start));
    CHECK(copy.items().size() == 1);
    CHECK(copy.through() == at(50, 2));
}

// Guards against changes that are lost when the new numbering has passed the revision from which
// was watched.
TEST_CASE("a watch response of a later era is not applied") {
    replica copy;
    copy.apply_listing({{"a", at(90, 1), "old"}}, at(100, 1), start);
    CHECK_FALSE(copy.apply_watch_response({{"a", at(104, 2), "new"}}, at(104, 2), start));
    CHECK(copy.through() == at(100, 1));
}

// Guards against empty pools after the store returned from a copy that lacks endpoints.
TEST_CASE("keys that a new era lacks stay for a grace and are then removed") {
    replica copy;
    copy.apply_listing(
        {{"listed", at(20, 1), "x"}, {"late", at(80, 1), "y"}, {"gone", at(90, 1), "z"}},
        at(100, 1), start);
    CHECK(copy.expire_unconfirmed(start + grace, grace).empty());
    const auto restored = start + seconds{10};
    copy.apply_listing({{"listed", at(20, 2), "x"}}, at(50, 2), restored);
    CHECK(copy.unconfirmed() == 2);
    copy.apply_listing({{"listed", at(20, 2), "x"}}, at(50, 2), restored);
    CHECK(copy.unconfirmed() == 2);
    copy.apply_changes({{"late", at(51, 2), "y"}}, at(51, 2), restored + seconds{1});
    CHECK(copy.expire_unconfirmed(restored + grace - milliseconds{1}, grace).empty());
    CHECK(value_of(copy, "gone") == "z");
    CHECK(copy.expire_unconfirmed(restored + grace, grace) == std::vector<std::string>{"gone"});
    CHECK(value_of(copy, "late") == "y");
    CHECK_FALSE(value_of(copy, "gone").has_value());
    CHECK(copy.unconfirmed() == 0);
}

TEST_CASE("a write that a new era lists again keeps the time when it was learned") {
    replica copy;
    copy.apply_listing({{"a", at(20, 1), "x"}}, at(100, 1), start);
    copy.apply_listing({{"a", at(20, 2), "x"}}, at(50, 2), start + seconds{5});
    CHECK(copy.items().at("a").changed_at == start);
    copy.apply_changes({{"a", at(51, 2), "x"}}, at(51, 2), start + seconds{6});
    CHECK(copy.items().at("a").changed_at == start + seconds{6});
}

TEST_CASE("a peer of an earlier era receives all keys of the new one") {
    replica ahead;
    ahead.apply_listing({{"a", at(20, 1), "x"}, {"late", at(102, 1), "y"}}, at(103, 1), start);
    ahead.apply_listing({{"a", at(20, 2), "x"}}, at(50, 2), start);
    replica behind;
    behind.apply_listing({{"a", at(20, 1), "x"}, {"kept", at(95, 1), "z"}}, at(101, 1), start);
    const auto delta = ahead.changes_since(behind.through());
    CHECK(delta.is_full);
    CHECK(behind.apply_delta(delta, start));
    CHECK(behind.through() == at(50, 2));
    CHECK(value_of(behind, "kept") == "z");
    CHECK(behind.unconfirmed() == 2);
    behind.expire_unconfirmed(start + grace, grace);
    CHECK_FALSE(value_of(behind, "kept").has_value());
    CHECK_FALSE(value_of(behind, "late").has_value());
}

TEST_CASE("a peer that compares bare revisions gets what is above its own") {
    replica ahead;
    ahead.apply_listing({{"a", at(20, 3), "x"}}, at(50, 3), start);
    ahead.apply_changes({{"b", at(60, 3), "y"}}, at(60, 3), start);
    const auto delta = ahead.changes_since_revision(55);
    CHECK_FALSE(delta.is_full);
    REQUIRE(delta.items.size() == 1);
    CHECK(delta.items[0].key == "b");
    CHECK(ahead.changes_since_revision(0).is_full);
}

// Covers a fleet in which some entries list a store that is restored now and then, some watch it,
// some hear from peers only, and answers arrive late and from earlier eras.
TEST_CASE("replicas of a store that is restored converge and never revert") {
    const auto seed = GENERATE(range(1U, 80U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    struct contents {
        std::map<std::string, published_item> live;
        std::vector<published_item> history;
        revision newest{10};
    };
    contents store;
    contents kept;
    std::uint64_t era = 1;
    std::vector<replica> replicas(4); // the last one hears from peers only
    std::vector<replica_delta> late;  // answers of the store that are still on their way
    auto now = start;
    const auto stamped = [&](std::vector<published_item> items) {
        for (auto& item : items) {
            item.position.era = era;
        }
        return items;
    };
    const auto listing = [&] {
        std::vector<published_item> items;
        for (const auto& [key, item] : store.live) {
            items.push_back(item);
        }
        return replica_delta{true, at(store.newest, era), stamped(std::move(items))};
    };
    const auto apply = [&](replica& to, const replica_delta& answer) {
        const auto before = to.through();
        std::map<std::string, store_position> positions;
        for (const auto& [key, item] : to.items()) {
            positions[key] = item.position;
        }
        to.apply_listing(answer.items, answer.through, now);
        REQUIRE(to.through() >= before);
        for (const auto& [key, position] : positions) {
            REQUIRE(to.items().at(key).position >= position);
        }
    };
    for (int step = 0; step < 300; ++step) {
        now += milliseconds{random() % 100};
        switch (random() % 8) {
        case 0: // a write
        case 1: {
            const auto key = "key" + std::to_string(random() % 8);
            const auto newest = ++store.newest;
            const bool removed = random() % 3 == 0;
            const published_item written{
                key, at(newest), removed ? std::nullopt : std::optional{std::to_string(step)}};
            store.history.push_back(written);
            if (removed) {
                store.live.erase(key);
            } else {
                store.live[key] = written;
            }
            break;
        }
        case 2:
            late.push_back(listing());
            break;
        case 3:
            if (!late.empty()) {
                apply(replicas[random() % 3], late[random() % late.size()]);
            }
            break;
        case 4: { // a watch
            auto& to = replicas[random() % 3];
            std::vector<published_item> events;
            for (const auto& item : store.history) {
                if (item.position.at > to.through().at) {
                    events.push_back(item);
                }
            }
            to.apply_watch_response(stamped(std::move(events)), at(store.newest, era), now);
            break;
        }
        case 5: {
            const auto& from = replicas[random() % replicas.size()];
            auto& to = replicas[random() % replicas.size()];
            const auto before = to.through();
            to.apply_delta(from.changes_since(before), now);
            REQUIRE(to.through() >= before);
            break;
        }
        case 6:
            replicas[random() % replicas.size()].expire_unconfirmed(now, grace);
            break;
        default:
            if (random() % 6 == 0) {
                store = kept;
                ++era;
            } else if (random() % 3 == 0) {
                kept = store;
            }
        }
    }
    for (auto& one : replicas) {
        apply(one, listing());
        one.expire_unconfirmed(now + grace, grace);
        std::map<std::string, std::string> values;
        for (const auto& [key, item] : one.items()) {
            if (item.value) {
                values[key] = *item.value;
            }
        }
        std::map<std::string, std::string> expected;
        for (const auto& [key, item] : store.live) {
            expected[key] = *item.value;
        }
        REQUIRE(values == expected);
    }
}
