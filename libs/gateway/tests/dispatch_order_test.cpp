#include "base/hash.hpp"
#include "dispatch_order.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

const time_point start{seconds{1'000}};

bool none_excluded(const wire::entry_info& /*entry*/) {
    return false;
}

wire::entry_info make_entry(const std::string& id) {
    wire::entry_info entry;
    entry.id = id;
    entry.processors = 0.2;
    return entry;
}

std::vector<wire::entry_info>
order_of(const dispatching_entry& self, const fleet_view& fleet,
         const std::function<bool(const wire::entry_info&)>& is_excluded, time_point now) {
    const auto candidates = dispatch_candidates(
        self, fleet, [](const auto& /*entry*/) { return false; }, now);
    return entries_to_ask(placement::dispatcher_order("stage", {"stage"}, candidates), self, fleet,
                          is_excluded);
}

// The entry that queues a service's pieces, as selected by the entry `id`.
std::string dispatcher_according_to(const std::string& id, const std::vector<std::string>& serving,
                                    const std::vector<std::string>& alive,
                                    const std::optional<drain_plan>& draining, time_point now) {
    fleet_view fleet;
    for (const auto& other : serving) {
        if (other != id) {
            fleet.serving.push_back(make_entry(other));
        }
    }
    for (const auto& other : alive) {
        if (other != id) {
            fleet.alive.push_back(make_entry(other));
        }
    }
    const auto order = order_of({{id, 0.2}, draining}, fleet, none_excluded, now);
    return order.empty() ? id : order.front().id;
}

} // namespace

TEST_CASE("all entries select the same dispatcher") {
    const std::vector<std::string> all{"e1", "e2", "e3", "e4"};
    const auto chosen = dispatcher_according_to("e1", all, all, std::nullopt, start);
    for (const auto& id : all) {
        CHECK(dispatcher_according_to(id, all, all, std::nullopt, start) == chosen);
    }
}

// Guards against separate queues while all entries restart during a burst, each before the previous
// one is back: three queues that share endpoints waste calls.
TEST_CASE("entries that are all draining share one queue until they may exit") {
    const std::vector<std::string> all{"e1", "e2", "e3"};
    const auto plan = drain_plan::make(start, seconds{8});
    const auto early = start + seconds{1};
    const auto chosen = dispatcher_according_to("e1", {}, all, plan, early);
    for (const auto& id : all) {
        CHECK(dispatcher_according_to(id, {}, all, plan, early) == chosen);
    }
    fleet_view alone;
    CHECK_FALSE(defers_dispatch({{"e1", 0.2}, plan}, alone, early));
    CHECK(defers_dispatch({{"e1", 0.2}, plan}, alone, plan.withdrawn_at()));
}

TEST_CASE("a draining entry leaves dispatch to the serving entries") {
    const std::vector<std::string> all{"e1", "e2", "e3"};
    const auto chosen = dispatcher_according_to("e1", all, all, std::nullopt, start);
    std::vector<std::string> others{all};
    others.erase(std::find(others.begin(), others.end(), chosen));
    const auto plan = drain_plan::make(start, seconds{8});
    const auto next = dispatcher_according_to(chosen, others, all, plan, start);
    CHECK(next != chosen);
    for (const auto& id : others) {
        CHECK(dispatcher_according_to(id, others, all, std::nullopt, start) == next);
    }
}

TEST_CASE("an excluded entry is not asked for dispatch") {
    fleet_view fleet;
    fleet.serving = {make_entry("e2"), make_entry("e3"), make_entry("e4")};
    const std::optional<drain_plan> draining{drain_plan::make(start, seconds{8})};
    const dispatching_entry self{{"e1", 0.2}, draining};
    const auto first = order_of(self, fleet, none_excluded, start).front().id;
    const auto order = order_of(
        self, fleet, [&](const auto& entry) { return entry.id == first; }, start);
    REQUIRE(order.size() == 2);
    CHECK(order[0].id != first);
    CHECK(order[1].id != first);
}

// Guards against a selection with each gossip message while an entry starts.
TEST_CASE("candidates change only as they settle") {
    const std::optional<drain_plan> serving;
    const auto candidates_at = [&](milliseconds serving_for) {
        fleet_view fleet;
        fleet.serving = {make_entry("e2")};
        fleet.serving.front().serving_for = serving_for;
        return dispatch_candidates(
            {{"e1", 0.2}, serving}, fleet, [](const auto& /*entry*/) { return false; }, start);
    };
    CHECK(candidates_at(milliseconds{10}) == candidates_at(milliseconds{999}));
    CHECK(candidates_at(milliseconds{1'000}) == candidates_at(milliseconds{1'999}));
    CHECK(candidates_at(milliseconds{1'999}) != candidates_at(milliseconds{2'000}));
    CHECK(candidates_at(placement::max_serving_for) == candidates_at(seconds{60}));
}

// Guards against a dispatcher that changes with each entry that reaches the settling time after a
// restart of all.
TEST_CASE("entries that started within 0.3 s keep their dispatcher") {
    const std::optional<drain_plan> serving;
    std::set<std::string> dispatchers;
    for (int passed = 0; passed < 4'000; passed += 20) {
        fleet_view fleet;
        for (int i = 1; i < 12; ++i) {
            auto entry = make_entry("e" + std::to_string(i));
            entry.processors = i < 6 ? 0.5 : 0.09;
            entry.serving_for = milliseconds{passed + 30 * (i % 10)};
            fleet.serving.push_back(entry);
        }
        const auto candidates = dispatch_candidates(
            {{"e0", 0.09}, serving}, fleet, [](const auto& /*entry*/) { return false; }, start);
        dispatchers.insert(placement::dispatcher_order("stage", {"stage"}, candidates).front());
    }
    CHECK(dispatchers.size() == 1);
}

// Guards against other decisions where all machines are equal. The expected order is that of the
// former program: entries with a higher score than this one, at most two.
TEST_CASE("with equal machines the entries to ask are those of before") {
    std::mt19937 random{7};
    for (int round = 0; round < 200; ++round) {
        std::optional<drain_plan> draining;
        if (random() % 3 == 0) {
            draining = drain_plan::make(start, seconds{8});
        }
        fleet_view fleet;
        for (unsigned i = 1; i < 2 + random() % 30; ++i) {
            auto entry = make_entry("e" + std::to_string(i));
            entry.serving_for = milliseconds{random() % 4'000};
            (random() % 4 == 0 ? fleet.alive : fleet.serving).push_back(entry);
        }
        fleet.alive.insert(fleet.alive.end(), fleet.serving.begin(), fleet.serving.end());
        const auto excluded = "e" + std::to_string(random() % 10);
        const auto now = start + seconds{random() % 8};
        const auto score = [](const std::string& id) {
            return weighted_rendezvous_score("stage", id, 0.2);
        };
        const bool all_draining = draining && fleet.serving.empty();
        const bool defers = draining && (!all_draining || now >= draining->withdrawn_at());
        std::vector<std::string> expected;
        for (const auto& entry : all_draining ? fleet.alive : fleet.serving) {
            if (entry.id != excluded && (defers || score(entry.id) > score("self"))) {
                expected.push_back(entry.id);
            }
        }
        std::sort(expected.begin(), expected.end(),
                  [&](const auto& a, const auto& b) { return score(a) > score(b); });
        expected.resize(std::min<std::size_t>(expected.size(), 2));
        std::vector<std::string> order;
        for (const auto& entry : order_of(
                 {{"self", 0.2}, draining}, fleet,
                 [&](const auto& one) { return one.id == excluded; }, now)) {
            order.push_back(entry.id);
        }
        CHECK(order == expected);
    }
}
