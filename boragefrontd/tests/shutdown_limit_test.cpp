#include "shutdown_limit.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace boragefront;
using namespace boragefront::daemon;

// A process whose event loops hung ignored SIGTERM.
TEST_CASE("a shutdown that takes too long is noticed while its thread hangs") {
    std::promise<void> overdue;
    const shutdown_limit limit{milliseconds{50}, [&] { overdue.set_value(); }};
    CHECK(overdue.get_future().wait_for(seconds{20}) == std::future_status::ready);
}

TEST_CASE("a shutdown that ends in time is left alone") {
    bool called = false;
    {
        const shutdown_limit limit{seconds{60}, [&] { called = true; }};
    }
    CHECK_FALSE(called);
}
