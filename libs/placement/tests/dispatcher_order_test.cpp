#include "base/hash.hpp"
#include "placement/dispatcher_order.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace boragefront;
using namespace boragefront::placement;

namespace {

const std::vector<std::string> services{"decode", "embed", "rank"};

std::string id_of(std::size_t number) {
    return "entry-" + std::to_string(number);
}

// A fleet that has been serving for long. The first `large` entries have 0.5 processors and
// 200 Mbit/s, the others 0.09 and 10 Mbit/s.
std::vector<candidate> make_fleet(std::size_t count, std::size_t large) {
    std::vector<candidate> fleet;
    for (std::size_t i = 0; i < count; ++i) {
        fleet.push_back(
            {id_of(i), i < large ? 0.5 : 0.09, i < large ? 200.0 : 10.0, seconds{60}, false});
    }
    return fleet;
}

std::string dispatcher(const std::string& service, const std::vector<candidate>& fleet) {
    return dispatcher_order(service, services, fleet).front();
}

std::set<std::string> dispatchers(const std::vector<candidate>& fleet) {
    std::set<std::string> selected;
    for (const auto& service : services) {
        selected.insert(dispatcher(service, fleet));
    }
    return selected;
}

std::size_t number_of(const std::string& id) {
    return std::stoul(id.substr(id.find('-') + 1));
}

} // namespace

// Guards against other decisions in a deployment of equal machines, whose entries may also run the
// former program.
TEST_CASE("equal entries are ranked by the rendezvous score of the service alone") {
    for (const std::size_t count : {1U, 3U, 25U, 300U}) {
        auto fleet = make_fleet(count, count);
        fleet.front().serving_for = milliseconds{0};
        fleet.front().late = true;
        fleet.back().link_mbps = 0; // unknown
        const auto order = dispatcher_order("embed", services, fleet);
        CHECK(order.size() == count);
        CHECK(std::is_sorted(order.begin(), order.end(), [](const auto& a, const auto& b) {
            return weighted_rendezvous_score("embed", a, 0.5) >
                   weighted_rendezvous_score("embed", b, 0.5);
        }));
    }
    CHECK(dispatcher_order("embed", services, {}).empty());
}

// Guards against a queue on an entry whose link or processor is too small for it, and against one
// entry that dispatches for several services beside idle ones.
TEST_CASE("each service has its own dispatcher among the capable entries") {
    for (const std::size_t count : {3U, 25U, 300U}) {
        const std::size_t large = std::min<std::size_t>(count, 8);
        auto fleet = make_fleet(count, large);
        fleet.push_back({"entry-900", 0.5, 10, seconds{60}, false});   // narrow link
        fleet.push_back({"entry-901", 0.09, 200, seconds{60}, false}); // little processor time
        const auto selected = dispatchers(fleet);
        CHECK(selected.size() == services.size());
        CHECK(std::all_of(selected.begin(), selected.end(),
                          [&](const auto& id) { return number_of(id) < large; }));
        // Entries know the fleet in different orders.
        std::reverse(fleet.begin(), fleet.end());
        CHECK(dispatchers(fleet) == selected);
        CHECK(dispatcher_order("embed", services, fleet).size() == fleet.size());
    }
    // With fewer capable entries than services all of these dispatch.
    CHECK(dispatchers(make_fleet(25, 2)) == std::set<std::string>{id_of(0), id_of(1)});
}

// Guards against services without a queue, or with several, after losses.
TEST_CASE("after the loss of capable entries the best of the others dispatch") {
    const auto fleet = make_fleet(25, 8);
    auto remaining = fleet;
    remaining.erase(remaining.begin(), remaining.begin() + 6); // one data centre
    for (const auto& id : dispatchers(remaining)) {
        CHECK(number_of(id) < 8);
    }
    remaining.erase(remaining.begin(), remaining.begin() + 2); // all capable ones
    CHECK(dispatchers(remaining).size() <= services.size());
    remaining.push_back({"entry-99", 0.07, 10, seconds{60}, false});
    CHECK(dispatchers(remaining).size() == services.size());
    // The only capable entry dispatches although it is late: all others would be worse.
    auto single = make_fleet(25, 1);
    single.front().late = true;
    CHECK(dispatchers(single) == std::set<std::string>{id_of(0)});
}

// Guards against requests to entries that have just become ready and still open connections.
TEST_CASE("entries that have just started or are late do not dispatch") {
    auto fleet = make_fleet(25, 8);
    const auto before = dispatcher("embed", fleet);
    auto& selected = fleet[number_of(before)];
    selected.serving_for = milliseconds{1'999};
    CHECK(dispatcher("embed", fleet) != before);
    selected.serving_for = seconds{2};
    CHECK(dispatcher("embed", fleet) == before);
    selected.late = true;
    CHECK(dispatcher("embed", fleet) != before);
    selected.late = false;
    // In a restart of all capable entries none waits for another, and services stay spread.
    for (std::size_t i = 0; i < 8; ++i) {
        fleet[i].serving_for = milliseconds{100 * i};
    }
    CHECK(dispatcher("embed", fleet) == before);
    CHECK(dispatchers(fleet).size() == services.size());
    const auto at_restart = dispatchers(fleet);
    // Nor do the dispatchers change while one entry after the other reaches the settling time.
    for (int round = 0; round < 30; ++round) {
        for (std::size_t i = 0; i < 8; ++i) {
            fleet[i].serving_for += milliseconds{100};
        }
        CHECK(dispatchers(fleet) == at_restart);
    }
}

// Guards against a dispatcher that changes, with a hand-over, although nothing relevant did.
TEST_CASE("the order does not depend on time served or on entries that are not capable") {
    auto fleet = make_fleet(25, 8);
    const auto before = dispatchers(fleet);
    for (auto& one : fleet) {
        one.serving_for += seconds{number_of(one.id)};
    }
    for (std::size_t i = 8; i < 25; ++i) {
        fleet[i].late = true;
        fleet[i].serving_for = milliseconds{0};
    }
    CHECK(dispatchers(fleet) == before);
    fleet.resize(9);
    CHECK(dispatchers(fleet) == before);
}
