#include "instance_table.hpp"
#include "knowledge_clock.hpp"
#include "schedules.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace boragefront;
using namespace boragefront::control;
using membership::instance;
using membership::instance_role;

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr std::uint64_t seed = 7;

std::vector<instance> make_list(std::size_t count) {
    std::vector<instance> list;
    for (std::size_t i = 0; i < count; ++i) {
        const auto number = std::to_string(i);
        list.push_back({"endpoint-" + number, instance_role::sidecar, "dc" + std::to_string(i % 3),
                        "pool", "1.2.3.4:" + number, "1.2.3.5:" + number});
    }
    return list;
}

std::size_t count_of(const instance_table& table) {
    return table.believed().instances.size();
}

} // namespace

TEST_CASE("each data centre has two readers, and a reader that leaves the list is replaced") {
    membership::instance_list list{make_list(60)};
    const auto readers = [&] {
        return std::count_if(list.instances.begin(), list.instances.end(),
                             [&](const instance& one) { return is_reader(list, one); });
    };
    REQUIRE(readers() == 6);
    const auto first = std::find_if(list.instances.begin(), list.instances.end(),
                                    [&](const instance& one) { return is_reader(list, one); });
    list.instances.erase(first);
    REQUIRE(readers() == 6);
    REQUIRE(is_reader({}, make_list(1).front()));
}

TEST_CASE("a process that is no reader reads only when nothing was confirmed for a while") {
    random_source random{seed};
    read_schedule reads{random};
    REQUIRE(reads.decide({false, seconds{1}, 100}, start) == read_action::none);
    REQUIRE(reads.decide({false, seconds{60}, 100}, start) == read_action::read);
    reads.on_end(false, {false, seconds{60}, 100}, start, random);
    REQUIRE(reads.decide({false, seconds{60}, 100}, start) == read_action::none);
    REQUIRE(reads.decide({true, seconds{0}, 100}, start + seconds{60}) == read_action::watch);
}

TEST_CASE("reads of a whole fleet stay within the service's rate, also while it is down") {
    constexpr std::size_t fleet_size = 4'000;
    constexpr std::size_t rate = 2'000;
    constexpr int span_seconds = 20;
    random_source random{seed};
    const read_situation situation{false, seconds{60}, fleet_size};
    std::vector<read_schedule> all(fleet_size, read_schedule{random});
    std::size_t reads = 0;
    for (int tick = 0; tick < span_seconds * 20; ++tick) {
        const auto now = start + milliseconds{50} * tick;
        for (auto& one : all) {
            if (one.decide(situation, now) == read_action::read) {
                reads += tick >= 200 ? 1 : 0;
                one.on_end(false, situation, now, random);
            }
        }
    }
    REQUIRE(reads / (span_seconds - 10) < rate);
}

TEST_CASE("heartbeats of any number of targets stay within their bytes, up to the longest period") {
    REQUIRE(heartbeat_period(1) == seconds{1});
    REQUIRE(heartbeat_period(60) < seconds{3});
    REQUIRE(heartbeat_period(100'000) == seconds{5});
    for (const std::size_t targets : {1U, 60U, 270U, 100'000U}) {
        REQUIRE(heartbeat_validity(targets) > 2 * heartbeat_period(targets));
    }
}

TEST_CASE("an instance that vanishes from the list stays for a grace, longer if many do") {
    instance_table table;
    table.take_list(make_list(20), start);
    REQUIRE(table.refresh(start));
    REQUIRE(count_of(table) == 20);
    table.take_list(make_list(19), start);
    table.refresh(start + seconds{10});
    REQUIRE(count_of(table) == 20);
    table.refresh(start + seconds{30});
    REQUIRE(count_of(table) == 19);
    table.take_list({}, start + seconds{30});
    table.refresh(start + seconds{90});
    REQUIRE(count_of(table) == 19);
    table.take_list(make_list(19), start + seconds{90});
    table.refresh(start + seconds{1'000});
    REQUIRE(count_of(table) == 19);
}

TEST_CASE("an instance that is heard stays although the list lacks it") {
    instance_table table;
    table.take_list(make_list(5), start);
    table.take_list(make_list(4), start);
    table.note_heard("endpoint-4", start + seconds{58});
    table.refresh(start + seconds{60});
    REQUIRE(count_of(table) == 5);
    table.refresh(start + seconds{70});
    REQUIRE(count_of(table) == 4);
}

TEST_CASE("a newer list is taken from a peer by the buckets that differ, an older one is not") {
    instance_table mine;
    instance_table theirs;
    mine.take_list(make_list(200), start);
    theirs.take_list(make_list(201), start + seconds{5});
    const auto now = start + seconds{6};
    const auto answer = theirs.answer(mine.make_request(now), now);
    REQUIRE(answer.instances.size() < 50);
    mine.take_answer(answer, now);
    REQUIRE(mine.hash() == theirs.hash());
    REQUIRE(mine.age(now) == theirs.age(now));

    instance_table older;
    older.take_list(make_list(3), start);
    REQUIRE(older.answer(mine.make_request(now), now).buckets.empty());
}

TEST_CASE("an answer of a platform that is behind confirms nothing and is seen to be stale") {
    knowledge_clock clock;
    clock.on_platform({0, 5, start, start});
    REQUIRE(clock.confirmed());
    REQUIRE_FALSE(clock.platform_is_stale());
    clock.on_platform({7, 5, start + seconds{9}, start + seconds{9}});
    REQUIRE(clock.platform_is_stale());
    REQUIRE(clock.age(start + seconds{10}) == seconds{10});
    clock.on_platform({7, 8, start + seconds{11}, start + seconds{11}});
    REQUIRE_FALSE(clock.platform_is_stale());
    REQUIRE(clock.platform_revision() == 8);
}

TEST_CASE("the age of a peer's knowledge carries over, and an unconfirmed peer confirms nothing") {
    knowledge_clock clock;
    wire::knowledge peer;
    peer.age = seconds{3};
    clock.on_peer(peer, start);
    REQUIRE_FALSE(clock.confirmed());
    peer.confirmed = true;
    clock.on_peer(peer, start);
    REQUIRE(clock.age(start + seconds{1}) == seconds{4});
}
