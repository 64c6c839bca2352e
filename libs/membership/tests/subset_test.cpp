/// \file
#include "base/random.hpp"
#include "membership/subset.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace boragefront;
using namespace boragefront::membership;

namespace {

constexpr unsigned data_centres = 6;

instance make_sidecar(unsigned number, const std::string& pool) {
    instance made;
    made.id = pool + '-' + std::to_string(number);
    made.role = instance_role::sidecar;
    made.data_centre = "dc-" + std::to_string(number % data_centres);
    made.pool = pool;
    return made;
}

instance_list make_pool(unsigned size) {
    instance_list list;
    for (unsigned i = 0; i < size; ++i) {
        list.instances.push_back(make_sidecar(i, "engines"));
    }
    return list;
}

bool contains(const std::vector<instance>& set, const std::string& id) {
    return std::any_of(set.begin(), set.end(), [&](const auto& one) { return one.id == id; });
}

} // namespace

TEST_CASE("a subset prefers the local data centre and is completed from the others") {
    const auto all = make_pool(60);
    const auto subset = select_subset(all, {"entry-1", "dc-2", {6, 4}, {}});
    REQUIRE(subset.size() == 10);
    REQUIRE(std::count_if(subset.begin(), subset.end(),
                          [](const auto& one) { return one.data_centre == "dc-2"; }) == 6);
    const auto elsewhere = select_subset(all, {"entry-1", "dc-none", {6, 4}, {}});
    REQUIRE(elsewhere.size() == 10);
}

TEST_CASE("all sidecars of a small pool and of an unsubsetted pool are selected") {
    REQUIRE(select_subset(make_pool(5), {"entry-1", "dc-2", {6, 10}, {}}).size() == 5);
    REQUIRE(select_subset(make_pool(60), {"entry-1", "dc-2", {6, 4}, {"engines"}}).size() == 60);
}

TEST_CASE("removing one instance changes at most one member of a subset") {
    const auto all = make_pool(60);
    const subset_query query{"entry-7", "dc-3", {6, 4}, {}};
    const auto before = select_subset(all, query);
    for (std::size_t removed = 0; removed < all.instances.size(); ++removed) {
        auto fewer = all;
        fewer.instances.erase(fewer.instances.begin() + static_cast<std::ptrdiff_t>(removed));
        const auto after = select_subset(fewer, query);
        const auto kept = std::count_if(before.begin(), before.end(),
                                        [&](const auto& one) { return contains(after, one.id); });
        REQUIRE(kept >= static_cast<std::ptrdiff_t>(before.size()) - 1);
    }
}

TEST_CASE("leaving sidecars are selected only if there are too few live ones") {
    auto all = make_pool(60);
    for (auto& one : all.instances) {
        if (one.data_centre == "dc-2" && one.id != "engines-2") {
            one.state = instance_state::leaving;
        }
    }
    const auto subset = select_subset(all, {"entry-1", "dc-2", {6, 4}, {}});
    REQUIRE(contains(subset, "engines-2"));
    REQUIRE(subset.size() == 10);
}

TEST_CASE("subsets distribute the entries evenly over the sidecars") {
    // With 380 entries and a pool of 60, each sidecar is in half to twice its even share of
    // subsets.
    constexpr unsigned entries = 380;
    const auto all = make_pool(60);
    std::map<std::string, unsigned> entry_counts;
    for (unsigned i = 0; i < entries; ++i) {
        const subset_query query{
            "entry-" + std::to_string(i), "dc-" + std::to_string(i % data_centres), {6, 4}, {}};
        for (const auto& one : select_subset(all, query)) {
            ++entry_counts[one.id];
        }
    }
    const double even = entries * 10.0 / 60.0;
    REQUIRE(entry_counts.size() == 60);
    for (const auto& [id, count] : entry_counts) {
        CAPTURE(id, count, even);
        REQUIRE(count <= 2 * even);
        REQUIRE(count >= even / 2);
    }
}

TEST_CASE("all entries agree on the home of a key, regardless of the order of the list") {
    auto all = make_pool(9);
    for (unsigned i = 0; i < 100; ++i) {
        const auto key = "key-" + std::to_string(i);
        const std::string home = home_of(all, "engines", key)->id;
        std::reverse(all.instances.begin(), all.instances.end());
        REQUIRE(home_of(all, "engines", key)->id == home);
        REQUIRE(ranked_by_rendezvous(key, all.instances).front().id == home);
    }
    REQUIRE(home_of(all, "none", "key") == nullptr);
}

TEST_CASE("a key moves only if its home is removed") {
    const auto all = make_pool(9);
    for (unsigned i = 0; i < 100; ++i) {
        const auto key = "key-" + std::to_string(i);
        const std::string home = home_of(all, "engines", key)->id;
        auto fewer = all;
        std::erase_if(fewer.instances, [&](const auto& one) { return one.id == "engines-4"; });
        if (home != "engines-4") {
            REQUIRE(home_of(fewer, "engines", key)->id == home);
        }
    }
}

TEST_CASE("sidecars that are out of service or leaving are not homes of new keys") {
    auto all = make_pool(12);
    all.instances[1].state = instance_state::leaving;
    config::snapshot configuration;
    configuration.data_centres["dc-0"] = config::service_state::out;
    configuration.endpoints["engines-2"] = config::service_state::out;
    const auto serving = sidecars_in_service(all, configuration);
    REQUIRE(serving.instances.size() == 8);
    for (unsigned i = 0; i < 100; ++i) {
        const auto home = *home_of(serving, "engines", "key-" + std::to_string(i));
        REQUIRE(home.data_centre != "dc-0");
        REQUIRE(home.id != "engines-1");
        REQUIRE(home.id != "engines-2");
    }
}
