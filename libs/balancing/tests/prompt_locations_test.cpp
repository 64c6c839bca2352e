#include "balancing/prompt_locations.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {
const time_point start{seconds{1'000}};
}

TEST_CASE("the endpoint that processed a prompt most recently is found") {
    prompt_locations locations;
    CHECK_FALSE(locations.find("p", start).has_value());
    locations.record("p", "i-1", start);
    locations.record("p", "i-2", start + seconds{1});
    CHECK(locations.find("p", start + seconds{2}) == "i-2");
    CHECK_FALSE(locations.find("p", start + seconds{60}).has_value());
}

TEST_CASE("the number of prompts is bounded, and the oldest is evicted") {
    prompt_locations locations;
    for (int i = 0; i < 20'000; ++i) {
        locations.record("p" + std::to_string(i), "i-1", start);
    }
    CHECK(locations.size() <= 8'192);
    CHECK(locations.find("p19999", start).has_value());
    CHECK_FALSE(locations.find("p0", start).has_value());
}
