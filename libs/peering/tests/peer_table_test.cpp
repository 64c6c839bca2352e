#include "peering/peer_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace boragefront;
using namespace boragefront::peering;

namespace {

const time_point start{seconds{1'000}};

wire::entry_info make_peer(const std::string& id, bool serving = true,
                           milliseconds heard = milliseconds{0}) {
    wire::entry_info made;
    made.id = id;
    made.life = 1;
    made.control_address = id + ":1";
    made.work_address = id + ":2";
    made.serving = serving;
    made.heard = heard;
    return made;
}

std::vector<std::string> ids_of(const std::vector<wire::entry_info>& peers) {
    std::vector<std::string> ids;
    ids.reserve(peers.size());
    for (const auto& one : peers) {
        ids.push_back(one.id);
    }
    return ids;
}

using ids = std::vector<std::string>;

} // namespace

TEST_CASE("entries find each other by seeds and then by word of others") {
    auto table = peer_table::make("self", {"a:1", "b:1"});
    random_source random{1};
    CHECK(table.gossip_targets(start, random).size() == 2);
    table.record_contact(make_peer("a"), start);
    table.merge_gossip({make_peer("c"), make_peer("self")}, start);
    CHECK(ids_of(table.alive_peers(start)) == ids{"a", "c"});
    CHECK(table.gossip_targets(start, random).size() == 3); // a, c, and the seed b
}

// The pattern of a cut that hid many entries from this one, and heals.
TEST_CASE("an entry that missed calls is back once others have heard it since") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start);
    const auto cut = start + milliseconds{500};
    table.record_missed_call("a:1", cut);
    table.record_missed_call("a:1", cut);
    table.merge_gossip({make_peer("a", true, milliseconds{300})}, cut + milliseconds{200});
    CHECK(ids_of(table.alive_peers(cut + milliseconds{200})) == ids{"b"}); // heard before the misses
    table.merge_gossip({make_peer("a", true, milliseconds{100})}, cut + milliseconds{400});
    CHECK(ids_of(table.alive_peers(cut + milliseconds{400})) == ids{"a", "b"});
}

TEST_CASE("entries that fell silent lately are told apart from those that answer") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start + seconds{5});
    const auto now = start + seconds{5};
    CHECK(ids_of(table.unresponsive_peers(now, seconds{20})) == ids{"a"});
    CHECK(table.unresponsive_peers(now, seconds{4}).empty());
    table.record_contact(make_peer("a", false), now); // it is about to stop
    CHECK(table.unresponsive_peers(now + seconds{3}, seconds{20}).size() == 1);
}

TEST_CASE("an entry that is silent, or misses two calls, counts as dead until it is heard again") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start);
    table.record_missed_call("a:1", start);
    CHECK(table.alive_peers(start).size() == 2);
    table.record_missed_call("a:1", start);
    CHECK(ids_of(table.alive_peers(start)) == ids{"b"});
    CHECK(table.alive_peers(start + seconds{2}).empty());
    table.record_contact(make_peer("a"), start + seconds{2});
    CHECK(ids_of(table.alive_peers(start + seconds{2})) == ids{"a"});
}

// Answers the pattern of a restart of all entries: until they know each other each of them queues
// stage work for itself, and the endpoints get many small calls (docs/incidents/inc-48c1.md).
TEST_CASE("an entry that knows nobody looks often for a while, then as usual") {
    constexpr milliseconds start_spread{300}; // between the first and the last of a fleet
    milliseconds looked{0};
    unsigned alone = 1;
    for (; looked < seconds{3}; ++alone) {
        CHECK(peer_table::gossip_interval(alone) * 3 <= start_spread);
        looked += peer_table::gossip_interval(alone);
    }
    CHECK(peer_table::gossip_interval(alone + 10) >= start_spread);
    CHECK(peer_table::gossip_interval(0) >= start_spread);
}

TEST_CASE("a draining entry is alive and serves nothing new") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a", false), start);
    CHECK(table.alive_peers(start).size() == 1);
    CHECK(table.serving_peers(start).empty());
}

TEST_CASE("old news of an entry does not replace newer") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a", false), start);
    table.merge_gossip({make_peer("a", true, milliseconds{500})}, start + milliseconds{100});
    CHECK(table.serving_peers(start + milliseconds{100}).empty());
}

// Answers the pattern of a partition, in which each side believes that the other is gone.
TEST_CASE("limits stay divided by entries that fell silent lately", "[invariant]") {
    auto table = peer_table::make("self", {"a:1"});
    CHECK(table.max_entry_count(start, seconds{12}) == 2);
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start);
    table.record_contact(make_peer("c"), start);
    CHECK(table.max_entry_count(start + seconds{5}, seconds{12}) == 4);
    CHECK(table.max_entry_count(start + seconds{30}, seconds{12}) == 2);
}

TEST_CASE("the calls of one round do not grow with the fleet") {
    auto table = peer_table::make("self", {"peer-0:1"});
    for (int i = 0; i < 200; ++i) {
        table.record_contact(make_peer("peer-" + std::to_string(i)), start);
    }
    random_source random{7};
    CHECK(table.gossip_targets(start, random).size() <= 4);
}

// Answers the pattern of a fleet of hundreds, in which full lists of peers were most of what
// entries sent each other.
TEST_CASE("in a fleet of hundreds messages stay small, all know all, and a dead one is dropped",
          "[load]") {
    const auto entries =
        GENERATE(std::size_t{3}, std::size_t{12}, std::size_t{100}, std::size_t{300});
    constexpr milliseconds round{300};
    random_source random{entries};
    std::vector<peer_table> tables;
    for (std::size_t i = 0; i < entries; ++i) {
        tables.push_back(peer_table::make("e" + std::to_string(i), {"e0:1", "e1:1", "e2:1"}));
    }
    auto now = start;
    std::size_t dead = entries;
    std::size_t largest = 0;
    const auto exchange_all = [&] {
        for (std::size_t i = 0; i < entries; ++i) {
            for (const auto& address : tables[i].gossip_targets(now, random)) {
                const auto other = std::stoul(address.substr(1));
                if (i == dead || other == i) {
                    continue;
                }
                if (other == dead) {
                    tables[i].record_missed_call(address, now);
                    continue;
                }
                const auto told = tables[i].gossip_sample(now, random);
                const auto answered = tables[other].gossip_sample(now, random);
                largest = std::max({largest, told.size(), answered.size()});
                tables[other].record_contact(make_peer("e" + std::to_string(i)), now);
                tables[other].merge_gossip(told, now);
                tables[i].record_contact(make_peer("e" + std::to_string(other)), now);
                tables[i].merge_gossip(answered, now);
            }
        }
        now += round;
    };
    const auto fewest_alive = [&] {
        std::size_t fewest = entries;
        for (std::size_t i = 0; i < entries; ++i) {
            fewest = i == dead ? fewest : std::min(fewest, tables[i].alive_peers(now).size());
        }
        return fewest;
    };
    for (int i = 0; i < 8; ++i) {
        exchange_all();
    }
    for (int i = 0; i < 6; ++i) {
        exchange_all();
        CHECK(fewest_alive() == entries - 1);
    }
    CHECK(largest <= 64);
    dead = entries - 1;
    for (int i = 0; i < 22; ++i) { // 6.6 s
        exchange_all();
    }
    const bool dropped = std::all_of(tables.begin(), tables.end() - 1, [&](const auto& one) {
        return one.alive_peers(now).size() == entries - 2;
    });
    CHECK(dropped);
}
