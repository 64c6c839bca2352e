#include "placement/lateness.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::placement;

namespace {

const time_point start{seconds{1'000}};
const entry_life slow{"entry-0", 1};

// Reports of `reporters` of 12 observers.
void record_reports(lateness_reports& reports, int reporters, time_point now) {
    for (int i = 1; i <= 12; ++i) {
        reports.record("entry-" + std::to_string(i),
                       i <= reporters ? std::vector<entry_life>{slow} : std::vector<entry_life>{},
                       now);
    }
}

} // namespace

// Guards against a dispatcher that loses its services to a single slow response.
TEST_CASE("an entry responds late if the mean of its responses is above 100 ms") {
    response_monitor monitor;
    monitor.record_response(slow, milliseconds{20}, start);
    monitor.record_missed(slow, milliseconds{150}, start);
    CHECK(monitor.late(start).empty());
    for (int i = 0; i < 3; ++i) {
        monitor.record_missed(slow, milliseconds{150}, start);
    }
    CHECK(monitor.late(start) == std::vector<entry_life>{slow});
    // An entry that is not asked any more is not reported for ever.
    CHECK(monitor.late(start + milliseconds{2'001}).empty());
    for (int i = 0; i < 8; ++i) {
        monitor.record_response(slow, milliseconds{20}, start);
    }
    CHECK(monitor.late(start).empty());
}

// Guards against a slow observer, or one with a slow link, that moves the dispatchers of all.
TEST_CASE("an entry is late if a quarter of the observers and at least two report it") {
    lateness_reports reports;
    record_reports(reports, 0, start);
    record_reports(reports, 2, start);
    CHECK_FALSE(reports.is_late(slow, start));
    record_reports(reports, 3, start);
    CHECK(reports.is_late(slow, start));
    CHECK_FALSE(reports.is_late({slow.first, 2}, start)); // its next incarnation
    lateness_reports few;
    few.record("entry-1", {slow}, start);
    few.record(slow.first, {slow}, start); // of itself, which does not count
    CHECK_FALSE(few.is_late(slow, start));
}

// Guards against a lateness that depends on whether somebody asked for it in time, and against one
// that never ends because a reporter has disappeared.
TEST_CASE("an entry stays late for 2 s after the reports have ended") {
    lateness_reports reports;
    record_reports(reports, 4, start);
    record_reports(reports, 0, start + milliseconds{300}); // withdrawn, without a query before
    CHECK(reports.is_late(slow, start + seconds{2}));
    CHECK_FALSE(reports.is_late(slow, start + milliseconds{2'001}));
    record_reports(reports, 4, start);
    reports.record("entry-9", {slow}, start + milliseconds{2'100}); // the others are silent
    CHECK_FALSE(reports.is_late(slow, start + milliseconds{2'100}));
}
