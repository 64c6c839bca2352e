#include "control_loop.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

// Guards against a hanging control thread while the traffic thread continues: the entry would go on
// serving with stale state.
TEST_CASE("a control thread that does not run is detected") {
    settings::daemon_settings settings;
    settings.id = "entry-1";
    settings.control_address = "127.0.0.1:0";
    settings.platform_address = "127.0.0.1:1";
    settings.role = settings::gateway_settings{};
    metrics_registry metrics;
    const auto loop = control_loop::make(settings, "127.0.0.1:0", {}, metrics); // never started
    REQUIRE(loop);
    const auto now = steady_clock::now();
    CHECK(loop.value()->is_responsive(now));
    CHECK_FALSE(loop.value()->is_responsive(now + seconds{4}));
}
