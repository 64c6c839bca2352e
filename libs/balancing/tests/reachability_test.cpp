#include "balancing/reachability.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};

reachability with_cut(std::string_view data_centre, time_point now) {
    reachability seen;
    for (const auto* endpoint : {"one", "two", "three"}) {
        seen.record_unreachable(data_centre, endpoint, now);
    }
    return seen;
}

} // namespace

TEST_CASE("a data centre is avoided once several of its endpoints in a row are unreachable") {
    reachability seen;
    seen.record_unreachable("a", "one", start);
    seen.record_unreachable("a", "one", start);
    seen.record_unreachable("a", "two", start);
    CHECK(seen.avoided_data_centres(start).empty());
    seen.record_unreachable("a", "three", start);
    CHECK(seen.avoided_data_centres(start).contains("a"));
    CHECK(seen.is_unreachable("a", start));
    CHECK_FALSE(seen.is_unreachable("b", start));
}

TEST_CASE("endpoints that fail alone do not count against their data centre") {
    reachability seen;
    for (int i = 0; i < 10; ++i) {
        seen.record_unreachable("a", "endpoint-" + std::to_string(i), start);
        seen.record_reached("a");
    }
    CHECK(seen.avoided_data_centres(start).empty());
}

TEST_CASE("a data centre that is avoided is tried now and then, and is back with one answer") {
    auto seen = with_cut("a", start);
    int tries = 0;
    for (auto now = start; now < start + milliseconds{1'900}; now += milliseconds{10}) {
        tries += seen.avoided_data_centres(now).contains("a") ? 0 : 1;
    }
    CHECK(tries >= 4);
    CHECK(tries <= 7);
    seen.record_reached("a");
    CHECK(seen.avoided_data_centres(start + milliseconds{1'900}).empty());
}

TEST_CASE("a data centre that nobody tries any more is not avoided for ever") {
    auto seen = with_cut("a", start);
    CHECK(seen.avoided_data_centres(start + seconds{2}).empty());
}

// The pattern: one of five data centres is cut off for five seconds, and an entry sends 25 requests
// a second to endpoints at random. Without it each fifth request loses a connection attempt.
TEST_CASE("few requests meet a data centre that is cut off", "[load]") {
    reachability seen;
    std::mt19937_64 random{7};
    int requests = 0;
    int lost = 0;
    for (auto now = start; now < start + seconds{5}; now += milliseconds{40}) {
        const auto avoided = seen.avoided_data_centres(now);
        auto data_centre = std::to_string(random() % 5);
        while (avoided.contains(data_centre)) {
            data_centre = std::to_string(random() % 5);
        }
        ++requests;
        if (data_centre == "0") {
            ++lost;
            seen.record_unreachable(data_centre, std::to_string(random() % 32), now);
        } else {
            seen.record_reached(data_centre);
        }
    }
    CHECK(lost * 10 < requests);
}
