#include "base/metrics.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;

TEST_CASE("the exposition contains counters, gauges and quantiles") {
    metrics_registry registry;
    registry.get_counter("requests_total", R"(kind="plain")").add(3);
    registry.get_gauge("in_flight").set(2);
    for (int i = 1; i <= 1000; ++i) {
        registry.get_latency("latency_seconds").record(milliseconds{i});
    }
    const auto text = registry.exposition();
    REQUIRE(text.find("requests_total{kind=\"plain\"} 3\n") != std::string::npos);
    REQUIRE(text.find("in_flight 2\n") != std::string::npos);
    REQUIRE(text.find("latency_seconds_count 1000\n") != std::string::npos);
    const auto median = registry.get_latency("latency_seconds").quantile(0.5);
    REQUIRE(median > milliseconds{400});
    REQUIRE(median < milliseconds{600});
}

// Guards against gauges of endpoints that remain after these have recovered or left.
TEST_CASE("a removed gauge is no longer exposed") {
    metrics_registry registry;
    registry.get_gauge("speed", R"(endpoint="one")").set(0.5);
    registry.get_gauge("speed", R"(endpoint="two")").set(0.6);
    registry.remove_gauge("speed", R"(endpoint="one")");
    registry.remove_gauge("speed", R"(endpoint="three")");
    CHECK(registry.exposition() == "speed{endpoint=\"two\"} 0.6\n");
}

TEST_CASE("quantiles of a few observations are exact") {
    latency_quantiles latency;
    REQUIRE(latency.quantile(0.5) == duration{0});
    latency.record(milliseconds{30});
    REQUIRE(latency.quantile(0.5) == milliseconds{30});
    latency.record(milliseconds{10});
    latency.record(milliseconds{20});
    REQUIRE(latency.quantile(0.5) == milliseconds{20});
    REQUIRE(latency.quantile(0.99) == milliseconds{30});
}
