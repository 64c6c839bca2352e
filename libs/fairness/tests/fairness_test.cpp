#include "fairness/dispatch_shares.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::fairness;

namespace {

constexpr time_point start{seconds{1'000}};
constexpr double full_call = 280; // ms

} // namespace

// Otherwise deployments whose workspaces share evenly would be served in another order.
TEST_CASE("flows that share evenly keep their order, and so does one that is alone") {
    const auto flows = GENERATE(1, 2, 16);
    fair_share shares;
    for (int i = 0; i < flows; ++i) {
        shares.charge("workspace-" + std::to_string(i), i % 2 == 0 ? 400 : 700, start);
    }
    for (int i = 0; i < flows; ++i) {
        CHECK(shares.position("workspace-" + std::to_string(i),
                              {static_cast<std::size_t>(flows), full_call}, start) == 0);
    }
}

// With two flows, twice an equal share is everything; without another limit neither is deferred.
TEST_CASE("a flow with 80 in 100 of the use is deferred until its use has decayed") {
    const std::size_t flows = GENERATE(2U, 3U, 16U);
    fair_share shares;
    shares.charge("large", 8'000, start);
    shares.charge("small", 2'000, start);
    CHECK(shares.position("large", {flows, full_call}, start) > 0);
    CHECK(shares.position("small", {flows, full_call}, start) == (flows == 16 ? 3.2 : 0));
    CHECK(shares.position("large", {1, full_call}, start) == 0); // nobody else waits
    CHECK(shares.position("large", {flows, full_call}, start + seconds{8}) == 0);
}

TEST_CASE("large results cost memory, small ones do not") {
    CHECK(piece_cost({milliseconds{35}, 0.03, 8}) == 35);
    CHECK(piece_cost({milliseconds{35}, 0.1, 8}) == 135);
}

// A flow that alternates around its limit would fill the log.
TEST_CASE("a deferral is reported once when it begins, and when it has been over for 2 s") {
    dispatch_shares shares;
    shares.charge({0, "large"}, 8'000, start);
    shares.charge({0, "small"}, 500, start);
    const std::set<flow_view> waiting{{0, "large"}, {0, "small"}};
    for (const auto at : {start, start + milliseconds{50}}) {
        CHECK(shares.order(waiting, full_call, at).position({0, "large"}) > 0);
    }
    const auto begun = shares.take_changes(start + milliseconds{50});
    REQUIRE(begun.size() == 1);
    CHECK((begun[0].workspace == "large" && begun[0].deferred && begun[0].used_part > 0.9));
    CHECK(shares.uses(start).at(0).deferred);
    CHECK(shares.take_changes(start + seconds{1}).empty());
    const auto ended = shares.take_changes(start + seconds{3});
    REQUIRE(ended.size() == 1);
    CHECK_FALSE(ended[0].deferred);
}

// Urgent work takes all capacity, with strict priorities nothing less urgent is ever started.
TEST_CASE("a starved priority is served a quarter as often as all work, over 10 s") {
    dispatch_shares shares;
    std::map<int, int> started;
    int since_10_s = 0;
    for (int tenth = 0; tenth < 400; ++tenth) {
        const auto now = start + milliseconds{100} * tenth;
        shares.record_arrival(0, 3, now); // the service carries 2
        shares.record_arrival(2, 1, now);
        const auto order = shares.order({{0, "a"}, {2, "a"}}, full_call, now);
        const int first = order.is_starved(2) ? 2 : 0;
        shares.charge({first, "a"}, 2, now);
        started[first] += 2;
        if (tenth % 100 == 99 && tenth > 100) {
            INFO("at " << tenth / 10 << " s: " << started[2] - since_10_s << " of 100 served");
            CHECK(started[2] - since_10_s >= 0.25 * 0.5 * 100); // all work: 2 of 4
            since_10_s = started[2];
        }
    }
    CHECK(started[0] > 3 * started[2]);
}
