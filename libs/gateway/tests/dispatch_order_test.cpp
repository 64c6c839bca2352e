#include "dispatch_order.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

const time_point start{seconds{1'000}};

bool nobody(const std::string& /*id*/) {
    return false;
}

wire::entry_info entry_named(const std::string& id) {
    wire::entry_info made;
    made.id = id;
    made.processors = 0.2;
    return made;
}

// The entry that queues a service's pieces, as one of several sees it.
std::string dispatcher_seen_by(const std::string& id, const std::vector<std::string>& serving,
                               const std::vector<std::string>& alive,
                               const std::optional<drain_plan>& draining, time_point now) {
    fleet_view fleet;
    for (const auto& one : serving) {
        if (one != id) {
            fleet.serving.push_back(entry_named(one));
        }
    }
    for (const auto& one : alive) {
        if (one != id) {
            fleet.alive.push_back(entry_named(one));
        }
    }
    const auto order = dispatch_order("stage", {id, 0.2, draining}, fleet, nobody, now);
    return order.empty() ? id : order.front().id;
}

} // namespace

TEST_CASE("all entries agree on who dispatches") {
    const std::vector<std::string> all{"e1", "e2", "e3", "e4"};
    const auto chosen = dispatcher_seen_by("e1", all, all, std::nullopt, start);
    for (const auto& id : all) {
        CHECK(dispatcher_seen_by(id, all, all, std::nullopt, start) == chosen);
    }
}

// Answers the pattern of a restart of all entries, each before the one before it is back, in a
// burst: three queues that share endpoints waste their calls.
TEST_CASE("entries that all drain still share one queue until they may exit") {
    const std::vector<std::string> all{"e1", "e2", "e3"};
    const auto plan = drain_plan::make(start, seconds{8});
    const auto early = start + seconds{1};
    const auto chosen = dispatcher_seen_by("e1", {}, all, plan, early);
    for (const auto& id : all) {
        CHECK(dispatcher_seen_by(id, {}, all, plan, early) == chosen);
    }
    fleet_view alone;
    CHECK_FALSE(leaves_dispatch_to_others({"e1", 0.2, plan}, alone, early));
    CHECK(leaves_dispatch_to_others({"e1", 0.2, plan}, alone, plan.withdrawn_at()));
}

TEST_CASE("an entry that drains leaves its services to those that serve") {
    const std::vector<std::string> all{"e1", "e2", "e3"};
    const auto chosen = dispatcher_seen_by("e1", all, all, std::nullopt, start);
    std::vector<std::string> others{all};
    others.erase(std::find(others.begin(), others.end(), chosen));
    const auto plan = drain_plan::make(start, seconds{8});
    const auto next = dispatcher_seen_by(chosen, others, all, plan, start);
    CHECK(next != chosen);
    for (const auto& id : others) {
        CHECK(dispatcher_seen_by(id, others, all, std::nullopt, start) == next);
    }
}

TEST_CASE("an entry that answers late is passed over") {
    fleet_view fleet;
    fleet.serving = {entry_named("e2"), entry_named("e3"), entry_named("e4")};
    const std::optional<drain_plan> draining{drain_plan::make(start, seconds{8})};
    const dispatching_entry self{"e1", 0.2, draining};
    const auto first = dispatch_order("stage", self, fleet, nobody, start).front().id;
    const auto order = dispatch_order(
        "stage", self, fleet, [&](const std::string& id) { return id == first; }, start);
    REQUIRE(order.size() == 2);
    CHECK(order[0].id != first);
    CHECK(order[1].id != first);
}
