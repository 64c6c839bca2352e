#include "balancing/reachability.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};

reachability unreachable_data_centre(std::string_view data_centre, time_point now) {
    reachability tracker;
    for (const auto* endpoint : {"one", "two", "three"}) {
        tracker.record_unreachable(data_centre, endpoint, now);
    }
    return tracker;
}

} // namespace

TEST_CASE("a data centre is avoided once several of its endpoints in a row are unreachable") {
    reachability tracker;
    tracker.record_unreachable("a", "one", start);
    tracker.record_unreachable("a", "one", start);
    tracker.record_unreachable("a", "two", start);
    CHECK(tracker.avoided_data_centres(start).empty());
    tracker.record_unreachable("a", "three", start);
    CHECK(tracker.avoided_data_centres(start).contains("a"));
    CHECK(tracker.is_unreachable("a", start));
    CHECK_FALSE(tracker.is_unreachable("b", start));
}

TEST_CASE("single unreachable endpoints do not make their data centre unreachable") {
    reachability tracker;
    for (int i = 0; i < 10; ++i) {
        tracker.record_unreachable("a", "endpoint-" + std::to_string(i), start);
        tracker.record_reached("a");
    }
    CHECK(tracker.avoided_data_centres(start).empty());
}

TEST_CASE("an avoided data centre is probed at intervals and used again after one answer") {
    auto tracker = unreachable_data_centre("a", start);
    int probes = 0;
    for (auto now = start; now < start + milliseconds{1'900}; now += milliseconds{10}) {
        probes += tracker.avoided_data_centres(now).contains("a") ? 0 : 1;
    }
    CHECK(probes >= 4);
    CHECK(probes <= 7);
    tracker.record_reached("a");
    CHECK(tracker.avoided_data_centres(start + milliseconds{1'900}).empty());
}

TEST_CASE("a data centre without further connection attempts does not stay avoided") {
    auto tracker = unreachable_data_centre("a", start);
    CHECK(tracker.avoided_data_centres(start + seconds{2}).empty());
}

// One of five data centres is partitioned for five seconds while an entry sends 25 requests per
// second to random endpoints. If it is not avoided, every fifth request loses the time of a
// connection attempt.
TEST_CASE("few requests are sent to an unreachable data centre", "[load]") {
    reachability tracker;
    std::mt19937_64 random{7};
    int requests = 0;
    int lost = 0;
    for (auto now = start; now < start + seconds{5}; now += milliseconds{40}) {
        const auto avoided = tracker.avoided_data_centres(now);
        auto data_centre = std::to_string(random() % 5);
        while (avoided.contains(data_centre)) {
            data_centre = std::to_string(random() % 5);
        }
        ++requests;
        if (data_centre == "0") {
            ++lost;
            tracker.record_unreachable(data_centre, std::to_string(random() % 32), now);
        } else {
            tracker.record_reached(data_centre);
        }
    }
    CHECK(lost * 10 < requests);
}
