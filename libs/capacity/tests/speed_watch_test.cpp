#include "capacity/speed_watch.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using boragefront::capacity::speed_watch;

namespace {

const time_point start{seconds{1'000}};

} // namespace

// Guards against a log line for each slow period of half a second.
TEST_CASE("a speed outside the usual range is reported once it has lasted") {
    speed_watch watch;
    CHECK_FALSE(watch.record("one", 0.5, start));
    CHECK_FALSE(watch.record("one", 1, start + milliseconds{600}));
    CHECK_FALSE(watch.record("one", 0.5, start + milliseconds{1'000}));
    CHECK_FALSE(watch.record("one", 0.6, start + milliseconds{2'900}));
    CHECK(watch.record("one", 0.7, start + milliseconds{3'000}));
    CHECK(watch.range("one") == speed_watch::speed_range::slow);
    CHECK_FALSE(watch.record("one", 0.7, start + milliseconds{6'000}));
    CHECK_FALSE(watch.record("one", 1, start + milliseconds{7'000}));
    CHECK(watch.record("one", 1, start + milliseconds{9'000}));
}
