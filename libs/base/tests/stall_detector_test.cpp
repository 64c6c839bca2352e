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

// A deadlocked event loop was reported by no log line and no metric.
TEST_CASE("a stalled loop is reported once, and once more when it resumes") {
    auto monitored = stall_detector::make(start);
    int stalls = 0;
    int resumptions = 0;
    const auto check = [&](time_point now) {
        const auto change = monitored.check(now);
        stalls += change == loop_change::stalled ? 1 : 0;
        resumptions += change == loop_change::resumed ? 1 : 0;
    };
    auto now = start;
    for (; now < after(seconds{5}); now += interval) {
        monitored.record_heartbeat(now);
        check(now);
    }
    CHECK(stalls == 0);
    for (; now < after(seconds{9}); now += interval) {
        check(now);
    }
    CHECK(stalls == 1);
    CHECK(monitored.stalled_for() >= seconds{3});
    for (; now < after(seconds{12}); now += interval) {
        monitored.record_heartbeat(now);
        check(now);
    }
    CHECK(stalls == 1);
    CHECK(resumptions == 1);
}

TEST_CASE("a loop that never begins is reported") {
    auto monitored = stall_detector::make(start);
    bool stalled = false;
    for (auto now = start; now < after(seconds{2}); now += interval) {
        stalled = monitored.check(now) == loop_change::stalled || stalled;
    }
    CHECK(stalled);
}

TEST_CASE("a process that was suspended as a whole reports no stall") {
    auto monitored = stall_detector::make(start);
    monitored.record_heartbeat(start);
    CHECK(monitored.check(start) == loop_change::none);
    const auto woken = after(seconds{4});
    CHECK(monitored.check(woken) == loop_change::none);
    CHECK(monitored.check(woken + interval) == loop_change::none);
    monitored.record_heartbeat(woken + interval);
    CHECK(monitored.check(woken + 2 * interval) == loop_change::none);
}
