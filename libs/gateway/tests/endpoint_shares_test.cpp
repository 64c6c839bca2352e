#include "endpoint_shares.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

wire::entry_info make_entry(const std::string& id) {
    wire::entry_info entry;
    entry.id = id;
    entry.processors = 0.5;
    return entry;
}

std::vector<catalog::endpoint> make_endpoints() {
    std::vector<catalog::endpoint> endpoints(17);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].id = "endpoint-" + std::to_string(i);
        endpoints[i].service = "stage";
    }
    return endpoints;
}

} // namespace

// Guards against calls of both dispatchers at the same endpoints, and against a new dispatcher that
// is left with a few endpoints because a data centre fell silent at the same time.
TEST_CASE("two dispatchers divide the endpoints that are not left to silent entries") {
    const auto endpoints = make_endpoints();
    const auto former = make_entry("former");
    const auto successor = make_entry("successor");
    fleet_view fleet;
    for (int i = 0; i < 8; ++i) {
        auto& part = i < 4 ? fleet.alive : fleet.silent;
        part.push_back(make_entry("entry-" + std::to_string(i)));
    }
    auto for_former = fleet;
    for_former.alive.push_back(successor);
    auto for_successor = fleet;
    for_successor.alive.push_back(former);
    const auto left_by_former =
        endpoints_of_others(endpoints, "stage", {for_former, {"former", 0.5}, &successor});
    const auto left_by_successor =
        endpoints_of_others(endpoints, "stage", {for_successor, {"successor", 0.5}, &former});
    const auto left_to_silent =
        endpoints_of_others(endpoints, "stage", {for_former, {"former", 0.5}, nullptr});
    for (const auto& endpoint : endpoints) {
        const bool both =
            left_by_former.contains(endpoint.id) && left_by_successor.contains(endpoint.id);
        CHECK(both == left_to_silent.contains(endpoint.id));
    }
    CHECK(left_by_former.size() + left_by_successor.size() ==
          endpoints.size() + left_to_silent.size());
    CHECK(left_by_successor.size() < endpoints.size() * 4 / 5);
    // The division ends with the hand-over, also while the same entries are known.
    CHECK(sharing_hash(endpoints, "stage", {for_former, {"former", 0.5}, &successor}) !=
          sharing_hash(endpoints, "stage", {for_former, {"former", 0.5}, nullptr}));
    CHECK(sharing_hash(endpoints, "stage", {fleet_view{}, {"former", 0.5}, nullptr}) == 0);
}

// Guards against restarted entries that all send to all endpoints, and against a deployment of one
// entry, or an entry without reachable peers, that leaves endpoints unused.
TEST_CASE("an entry that knows no other yet uses its share of the endpoints") {
    const auto endpoints = make_endpoints();
    const time_point start{seconds{1'000}};
    fleet_view fleet;
    CHECK_FALSE(is_starting(fleet, start, start));
    CHECK_FALSE(may_hold_former_results(fleet, start, start));
    fleet.max_entry_count = 25;
    CHECK(is_starting(fleet, start, start + milliseconds{999}));
    CHECK_FALSE(is_starting(fleet, start, start + seconds{1}));
    std::set<std::string> used;
    for (int i = 0; i < 25; ++i) {
        const auto left = endpoints_of_others(
            endpoints, "stage", {fleet, {"entry-" + std::to_string(i), 0.5}, nullptr, true});
        REQUIRE(left.size() == endpoints.size() - 1);
        for (const auto& endpoint : endpoints) {
            if (!left.contains(endpoint.id)) {
                used.insert(endpoint.id);
            }
        }
    }
    CHECK(used.size() > endpoints.size() / 2);
    fleet.alive.push_back(make_entry("entry-1"));
    CHECK_FALSE(is_starting(fleet, start, start));
    CHECK(may_hold_former_results(fleet, start, start));
}
