#include "capacity/load_curve.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using boragefront::capacity::load_curve;

namespace {

const time_point start{seconds{1'000}};

template <typename Latency>
load_curve observe(Latency latency_at) {
    load_curve curve;
    for (unsigned i = 0; i < 120; ++i) {
        const unsigned load = 1 + (i * 7) % 6;
        const double noise = 0.9 + 0.05 * ((i * 5) % 5);
        curve.record(load, latency_at(load) * noise, start + milliseconds{i * 20});
    }
    return curve;
}

} // namespace

// Guards against a limit on endpoints whose latency does not depend on load.
TEST_CASE("an even latency gives no limit") {
    CHECK(observe([](unsigned) { return 1.0; }).concurrency() == 0);
}

// Guards against filling an endpoint that slows down from a third of its slots on.
TEST_CASE("latency that rises from a third of the slots on gives a limit below the slots") {
    const auto curve = observe([](unsigned load) { return load <= 2 ? 1.0 : 0.5 * load; });
    CHECK(curve.concurrency() >= 1);
    CHECK(curve.concurrency() <= 3);
}

TEST_CASE("few observations give no limit") {
    load_curve curve;
    curve.record(1, 1, start);
    curve.record(6, 6, start);
    CHECK(curve.concurrency() == 0);
}
