#include "fleet.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>

using namespace boragefront;
using namespace boragefront::control;

namespace {

constexpr milliseconds in_force_everywhere{7'000};
constexpr std::uint64_t bytes_per_second = 14'000;
constexpr std::size_t platform_calls_per_second = 2'000;
constexpr fleet_size designed_fleet{380, 600, 6, 60};
constexpr std::uint64_t seed = 20261204;

std::uint64_t busiest(const fleet& all) {
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        most = std::max(most, all.bytes_of(i));
    }
    return most;
}

} // namespace

TEST_CASE("at the designed size a change is in force everywhere in time and within the bytes") {
    CAPTURE(seed);
    fleet all{designed_fleet, {}, seed};
    for (int i = 0; i < 100; ++i) {
        all.platform.publish("endpoints/e" + std::to_string(i), R"({"state":"in"})");
    }
    REQUIRE(all.run_until([&] { return all.all_ready() && all.converged(100); }, seconds{60}));
    all.run_for(seconds{10});

    all.count_bytes = true;
    const auto calls = all.platform.calls;
    const auto before = busiest(all);
    constexpr seconds idle{10};
    all.run_for(idle);
    const auto idle_bytes = (busiest(all) - before) / idle.count();
    CAPTURE(idle_bytes);
    REQUIRE(idle_bytes < bytes_per_second);
    const auto calls_per_second = (all.platform.calls - calls) / idle.count();
    CAPTURE(calls_per_second);
    REQUIRE(calls_per_second < platform_calls_per_second);

    const auto last = all.platform.publish("endpoints/e1", R"({"state":"out"})");
    const auto took = all.run_until([&] { return all.converged(last); }, in_force_everywhere);
    REQUIRE(took);
    std::cout << "idle bytes/s of the busiest node: " << idle_bytes
              << ", platform calls/s: " << calls_per_second
              << ", in force everywhere after ms: " << took->count() << '\n';

    all.platform.down = true;
    all.run_for(seconds{15});
    const auto calls_down = all.platform.calls;
    all.run_for(idle);
    const auto down_per_second = (all.platform.calls - calls_down) / idle.count();
    CAPTURE(down_per_second);
    std::cout << "platform calls/s while it is down: " << down_per_second << '\n';
    REQUIRE(down_per_second < platform_calls_per_second);
}
