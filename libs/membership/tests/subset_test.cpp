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

bool has(const std::vector<instance>& set, const std::string& id) {
    return std::any_of(set.begin(), set.end(), [&](const auto& one) { return one.id == id; });
}

} // namespace

TEST_CASE("a subset prefers the own data centre and fills up from the others") {
    const auto all = make_pool(60);
    const auto subset = select_subset(all, {"entry-1", "dc-2", {6, 4}, {}});
    REQUIRE(subset.size() == 10);
    REQUIRE(std::count_if(subset.begin(), subset.end(),
                          [](const auto& one) { return one.data_centre == "dc-2"; }) == 6);
    const auto elsewhere = select_subset(all, {"entry-1", "dc-none", {6, 4}, {}});
    REQUIRE(elsewhere.size() == 10);
}

TEST_CASE("a small pool and a whole pool are taken whole") {
    REQUIRE(select_subset(make_pool(5), {"entry-1", "dc-2", {6, 10}, {}}).size() == 5);
    REQUIRE(select_subset(make_pool(60), {"entry-1", "dc-2", {6, 4}, {"engines"}}).size() == 60);
}

TEST_CASE("one instance less changes at most one place") {
    const auto all = make_pool(60);
    const subset_query query{"entry-7", "dc-3", {6, 4}, {}};
    const auto before = select_subset(all, query);
    for (std::size_t gone = 0; gone < all.instances.size(); ++gone) {
        auto fewer = all;
        fewer.instances.erase(fewer.instances.begin() + static_cast<std::ptrdiff_t>(gone));
        const auto after = select_subset(fewer, query);
        const auto kept = std::count_if(before.begin(), before.end(),
                                        [&](const auto& one) { return has(after, one.id); });
        REQUIRE(kept >= static_cast<std::ptrdiff_t>(before.size()) - 1);
    }
}

TEST_CASE("leaving sidecars take only places that live ones leave") {
    auto all = make_pool(60);
    for (auto& one : all.instances) {
        if (one.data_centre == "dc-2" && one.id != "engines-2") {
            one.state = instance_state::leaving;
        }
    }
    const auto subset = select_subset(all, {"entry-1", "dc-2", {6, 4}, {}});
    REQUIRE(has(subset, "engines-2"));
    REQUIRE(subset.size() == 10);
}

TEST_CASE("subsets spread the entries over the sidecars") {
    // 380 entries before a pool of 60: no sidecar is in touch with more than twice its even share.
    constexpr unsigned entries = 380;
    const auto all = make_pool(60);
    std::map<std::string, unsigned> touched;
    for (unsigned i = 0; i < entries; ++i) {
        const subset_query query{
            "entry-" + std::to_string(i), "dc-" + std::to_string(i % data_centres), {6, 4}, {}};
        for (const auto& one : select_subset(all, query)) {
            ++touched[one.id];
        }
    }
    const double even = entries * 10.0 / 60.0;
    REQUIRE(touched.size() == 60);
    for (const auto& [id, count] : touched) {
        CAPTURE(id, count, even);
        REQUIRE(count <= 2 * even);
        REQUIRE(count >= even / 2);
    }
}

TEST_CASE("all entries agree on the home of a key, whatever the order of the list") {
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

TEST_CASE("a key moves only if its home is gone") {
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

TEST_CASE("what is out or leaving is no home for new keys") {
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
