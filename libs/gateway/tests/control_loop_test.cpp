#include "control_loop.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

// The pattern of a control thread that hangs while the traffic thread goes on: the entry would
// serve by what was published once.
TEST_CASE("a control thread that takes no turns is noticed") {
    settings::daemon_settings settings;
    settings.id = "entry-1";
    settings.control_address = "127.0.0.1:0";
    settings.platform_address = "127.0.0.1:1";
    settings.role = settings::gateway_settings{};
    metrics_registry metrics;
    const auto made = control_loop::make(settings, "127.0.0.1:0", {}, metrics); // never run
    REQUIRE(made);
    const auto now = steady_clock::now();
    CHECK(made.value()->is_responsive(now));
    CHECK_FALSE(made.value()->is_responsive(now + seconds{4}));
}
