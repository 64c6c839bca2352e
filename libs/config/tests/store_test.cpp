#include "base/random.hpp"
#include "config/store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>

using namespace boragefront;
using namespace boragefront::config;

namespace {

constexpr std::array seeds{1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U};

published_entry out_of_service(revision number, std::string_view state) {
    return {"data_centres/puebla-nte", number, false, R"({"state":")" + std::string{state} + "\"}"};
}

std::vector<published_entry> random_entries(random_source& random) {
    std::vector<published_entry> entries;
    for (revision number = 1; number <= 40; ++number) {
        const auto key = "data_centres/dc" + std::to_string(random() % 5);
        const auto kind = random() % 4;
        const std::string value = kind == 0 ? R"({"state":"gone"})" : R"({"state":"out"})";
        entries.push_back({key, number, kind == 1, kind == 1 ? "" : value});
    }
    return entries;
}

void require_equal(const config_store& left, const config_store& right) {
    REQUIRE(left.revisions() == right.revisions());
    for (const auto& held : left.revisions()) {
        REQUIRE(left.entries_of(held.key) == right.entries_of(held.key));
    }
}

} // namespace

TEST_CASE("an older revision never replaces a newer one") {
    config_store store;
    REQUIRE(store.merge(out_of_service(5, "out")) == merge_outcome::accepted);
    REQUIRE(store.merge(out_of_service(4, "in")) == merge_outcome::ignored);
    REQUIRE(store.merge(out_of_service(5, "out")) == merge_outcome::ignored);
    REQUIRE_FALSE(store.build_snapshot().is_in("puebla-nte", "any"));
    REQUIRE(store.highest() == 5);
}

TEST_CASE("an invalid value leaves the last good one in force and is listed") {
    config_store store;
    store.merge(out_of_service(5, "out"));
    REQUIRE(store.merge(out_of_service(6, "perhaps")) == merge_outcome::refused);
    const auto snapshot = store.build_snapshot();
    REQUIRE_FALSE(snapshot.is_in("puebla-nte", "any"));
    REQUIRE(snapshot.refused.size() == 1);
    REQUIRE(snapshot.refused.front().refused == 6);
    REQUIRE(snapshot.refused.front().reason.field == "data_centres/puebla-nte: state");
    REQUIRE(store.merge(out_of_service(7, "in")) == merge_outcome::accepted);
    REQUIRE(store.build_snapshot().refused.empty());
}

TEST_CASE("a store that learns the invalid value first still learns the last good one") {
    config_store first;
    first.merge(out_of_service(5, "out"));
    first.merge(out_of_service(6, "perhaps"));
    config_store second;
    second.merge(out_of_service(6, "perhaps"));
    for (const auto& entry : first.entries_of("data_centres/puebla-nte")) {
        second.merge(entry);
    }
    require_equal(first, second);
    REQUIRE_FALSE(second.build_snapshot().is_in("puebla-nte", "any"));
}

TEST_CASE("a tombstone removes a value and does not let it return") {
    config_store store;
    store.merge(out_of_service(5, "out"));
    store.merge({"data_centres/puebla-nte", 6, true, ""});
    store.merge(out_of_service(5, "out"));
    REQUIRE(store.build_snapshot().is_in("puebla-nte", "any"));
}

TEST_CASE("stores that took the same entries in any order, lost and doubled, hold the same") {
    for (const auto seed : seeds) {
        CAPTURE(seed);
        random_source random{seed};
        auto entries = random_entries(random);
        config_store left;
        config_store right;
        for (const auto& entry : entries) {
            left.merge(entry);
        }
        std::shuffle(entries.begin(), entries.end(), random);
        for (const auto& entry : entries) {
            right.merge(entry);
            right.merge(entries[random() % entries.size()]);
        }
        require_equal(left, right);
    }
}

TEST_CASE("a service whose profile or pool is missing is not offered but listed") {
    config_store store;
    store.merge({"profiles/p", 1, false, "{}"});
    store.merge({"pools/a", 2, false, R"({"kind":"plain","profile":"p"})"});
    store.merge({"services/s", 3, false, R"({"kind":"plain","profile":"p","pool":"a"})"});
    REQUIRE(store.build_snapshot().find_service("s") != nullptr);
    store.merge({"profiles/p", 4, true, ""});
    const auto snapshot = store.build_snapshot();
    REQUIRE(snapshot.find_service("s") == nullptr);
    REQUIRE(snapshot.find_pool("a") == nullptr);
    REQUIRE(snapshot.refused.front().reason.field == "pools/a: profile");
    REQUIRE(snapshot.refused.back().key == "services/s");
}
