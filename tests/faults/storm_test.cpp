/// \file
/// A short run of pairs of failures with fixed seeds.
#include "src/fault_storm.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

TEST_CASE("pairs of failures break no invariant", "[invariant]") {
    const auto seed = GENERATE(1, 2);
    std::string pairs;
    const auto judged = run_storm({.seed = static_cast<std::uint64_t>(seed), .rounds = 4},
                                  [&](const std::string& pair) { pairs += "\n  " + pair; });
    CAPTURE(seed, pairs);
    if (!judged) {
        FAIL(to_string(judged.error()));
    }
    WARN("seed " << seed << pairs << '\n' << to_string(judged.value()));
    REQUIRE(judged.value().faults.empty());
}
