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

TEST_CASE("entries discover each other through seeds and then through gossip") {
    auto table = peer_table::make("self", {"a:1", "b:1"});
    random_source random{1};
    CHECK(table.gossip_targets(start, random).size() == 2);
    table.record_contact(make_peer("a"), start);
    table.merge_gossip({make_peer("c"), make_peer("self")}, start);
    CHECK(ids_of(table.alive_peers(start)) == ids{"a", "c"});
    CHECK(table.gossip_targets(start, random).size() == 3); // a, c, and the seed b
}

// Guards against entries that stay marked as dead after a partition has healed.
TEST_CASE("an entry that missed calls is alive again once a peer has seen it since") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start);
    const auto partition = start + milliseconds{500};
    table.record_missed_call("a:1", partition);
    table.record_missed_call("a:1", partition);
    table.merge_gossip({make_peer("a", true, milliseconds{300})}, partition + milliseconds{200});
    // This report is older than the missed calls.
    CHECK(ids_of(table.alive_peers(partition + milliseconds{200})) == ids{"b"});
    table.merge_gossip({make_peer("a", true, milliseconds{100})}, partition + milliseconds{400});
    CHECK(ids_of(table.alive_peers(partition + milliseconds{400})) == ids{"a", "b"});
}

TEST_CASE("recently unresponsive entries are reported separately from alive ones") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start + seconds{5});
    const auto now = start + seconds{5};
    CHECK(ids_of(table.unresponsive_peers(now, seconds{20})) == ids{"a"});
    CHECK(table.unresponsive_peers(now, seconds{4}).empty());
    table.record_contact(make_peer("a", false), now); // it drains
    CHECK(table.unresponsive_peers(now + seconds{3}, seconds{20}).size() == 1);
}

TEST_CASE(
    "an entry that is not seen for a time or misses two calls is dead until it is seen again") {
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

// Guards against slow discovery after a restart of all entries: until they know each other, each of
// them queues stage work separately, and the endpoints receive many small calls
// (docs/incidents/inc-48c1.md).
TEST_CASE("an entry without peers gossips at a short interval for a limited time, then at the "
          "default one") {
    constexpr milliseconds start_spread{300}; // between the first and the last start in a fleet
    milliseconds elapsed{0};
    unsigned rounds = 1;
    for (; elapsed < seconds{3}; ++rounds) {
        CHECK(peer_table::gossip_interval(rounds) * 3 <= start_spread);
        elapsed += peer_table::gossip_interval(rounds);
    }
    CHECK(peer_table::gossip_interval(rounds + 10) >= start_spread);
    CHECK(peer_table::gossip_interval(0) >= start_spread);
}

TEST_CASE("a draining entry is alive and accepts no new work") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a", false), start);
    CHECK(table.alive_peers(start).size() == 1);
    CHECK(table.serving_peers(start).empty());
}

TEST_CASE("an older report of an entry does not replace a newer one") {
    auto table = peer_table::make("self", {});
    table.record_contact(make_peer("a", false), start);
    table.merge_gossip({make_peer("a", true, milliseconds{500})}, start + milliseconds{100});
    CHECK(table.serving_peers(start + milliseconds{100}).empty());
}

// Guards against exceeded limits in a partition, where each side considers the other as stopped.
TEST_CASE("limits stay divided by recently unresponsive entries too", "[invariant]") {
    auto table = peer_table::make("self", {"a:1"});
    CHECK(table.max_entry_count(start, seconds{12}) == 2);
    table.record_contact(make_peer("a"), start);
    table.record_contact(make_peer("b"), start);
    table.record_contact(make_peer("c"), start);
    CHECK(table.max_entry_count(start + seconds{5}, seconds{12}) == 4);
    CHECK(table.max_entry_count(start + seconds{30}, seconds{12}) == 2);
}

TEST_CASE("the number of calls per gossip round does not grow with the fleet") {
    auto table = peer_table::make("self", {"peer-0:1"});
    for (int i = 0; i < 200; ++i) {
        table.record_contact(make_peer("peer-" + std::to_string(i)), start);
    }
    random_source random{7};
    CHECK(table.gossip_targets(start, random).size() <= 4);
}

// Guards against control traffic that is dominated by full lists of peers in a fleet of hundreds.
TEST_CASE("in a fleet of hundreds, messages stay small, entries know all others, and a dead one is "
          "dropped",
          "[load]") {
    const auto entries =
        GENERATE(std::size_t{3}, std::size_t{12}, std::size_t{100}, std::size_t{300});
    constexpr milliseconds interval{300};
    random_source random{entries};
    std::vector<peer_table> tables;
    for (std::size_t i = 0; i < entries; ++i) {
        tables.push_back(peer_table::make("e" + std::to_string(i), {"e0:1", "e1:1", "e2:1"}));
    }
    auto now = start;
    std::size_t dead = entries;
    std::size_t largest = 0;
    const auto run_gossip_round = [&] {
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
                const auto sent = tables[i].gossip_sample(now, random);
                const auto received = tables[other].gossip_sample(now, random);
                largest = std::max({largest, sent.size(), received.size()});
                tables[other].record_contact(make_peer("e" + std::to_string(i)), now);
                tables[other].merge_gossip(sent, now);
                tables[i].record_contact(make_peer("e" + std::to_string(other)), now);
                tables[i].merge_gossip(received, now);
            }
        }
        now += interval;
    };
    const auto min_alive = [&] {
        std::size_t min_count = entries;
        for (std::size_t i = 0; i < entries; ++i) {
            min_count =
                i == dead ? min_count : std::min(min_count, tables[i].alive_peers(now).size());
        }
        return min_count;
    };
    for (int i = 0; i < 8; ++i) {
        run_gossip_round();
    }
    for (int i = 0; i < 6; ++i) {
        run_gossip_round();
        CHECK(min_alive() == entries - 1);
    }
    CHECK(largest <= 64);
    dead = entries - 1;
    for (int i = 0; i < 22; ++i) { // 6.6 s
        run_gossip_round();
    }
    const bool dropped = std::all_of(tables.begin(), tables.end() - 1, [&](const auto& one) {
        return one.alive_peers(now).size() == entries - 2;
    });
    CHECK(dropped);
}

// Guards against an entry that counts as just started for as long as nothing new is heard of it.
TEST_CASE("how long a peer has accepted work rises until it is heard of again") {
    auto table = peer_table::make("self", {});
    auto report = make_peer("a", true, milliseconds{200});
    report.serving_for = milliseconds{1'000};
    table.merge_gossip({report}, start);
    const auto alive = table.alive_peers(start + milliseconds{500});
    REQUIRE(alive.size() == 1);
    CHECK(alive.front().serving_for == milliseconds{1'700});
}

// Guards against a dispatcher that changes there and back because a message was delayed.
TEST_CASE("a delayed report does not shorten how long a peer has accepted work") {
    auto table = peer_table::make("self", {});
    auto report = make_peer("a", true, milliseconds{0});
    report.serving_for = milliseconds{2'000};
    table.record_contact(report, start);
    report.serving_for = milliseconds{2'010}; // of 20 ms ago
    table.record_contact(report, start + milliseconds{30});
    CHECK(table.alive_peers(start + milliseconds{30}).front().serving_for == milliseconds{2'030});
    report.serving_for = milliseconds{2'015};
    table.merge_gossip({report}, start + milliseconds{40});
    CHECK(table.alive_peers(start + milliseconds{40}).front().serving_for == milliseconds{2'040});
    report.life += 1; // restarted
    report.serving_for = milliseconds{10};
    table.record_contact(report, start + milliseconds{50});
    CHECK(table.alive_peers(start + milliseconds{50}).front().serving_for == milliseconds{10});
}
