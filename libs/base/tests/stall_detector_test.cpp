#include "base/stall_detector.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;

namespace {

const time_point start{seconds{1'000}};
constexpr milliseconds interval{250};

time_point after(milliseconds time) {
    return start + time;
}

} // namespace

// An event loop that hung for good was noticed by nobody.
TEST_CASE("a loop that takes no turns is reported once, and once more when it resumes") {
    auto watched = stall_detector::make(start);
    int stalls = 0;
    int resumptions = 0;
    const auto check = [&](time_point now) {
        const auto change = watched.check(now);
        stalls += change == loop_change::stalled ? 1 : 0;
        resumptions += change == loop_change::resumed ? 1 : 0;
    };
    auto now = start;
    for (; now < after(seconds{5}); now += interval) {
        watched.record_turn(now);
        check(now);
    }
    CHECK(stalls == 0);
    for (; now < after(seconds{9}); now += interval) {
        check(now);
    }
    CHECK(stalls == 1);
    CHECK(watched.stalled_for() >= seconds{3});
    for (; now < after(seconds{12}); now += interval) {
        watched.record_turn(now);
        check(now);
    }
    CHECK(stalls == 1);
    CHECK(resumptions == 1);
}

TEST_CASE("a loop that never begins is reported") {
    auto watched = stall_detector::make(start);
    bool stalled = false;
    for (auto now = start; now < after(seconds{2}); now += interval) {
        stalled = watched.check(now) == loop_change::stalled || stalled;
    }
    CHECK(stalled);
}

TEST_CASE("a process that was suspended as a whole reports no stall") {
    auto watched = stall_detector::make(start);
    watched.record_turn(start);
    CHECK(watched.check(start) == loop_change::none);
    const auto woken = after(seconds{4});
    CHECK(watched.check(woken) == loop_change::none);
    CHECK(watched.check(woken + interval) == loop_change::none);
    watched.record_turn(woken + interval);
    CHECK(watched.check(woken + 2 * interval) == loop_change::none);
}
