#include "base/hash.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace boragefront;

TEST_CASE("candidates are chosen in proportion to their weights") {
    const std::map<std::string, double> weights{{"small", 0.2}, {"large", 0.6}, {"other", 0.2}};
    std::map<std::string, int> chosen;
    constexpr int keys = 5'000;
    for (int i = 0; i < keys; ++i) {
        const auto key = "key-" + std::to_string(i);
        std::string best;
        double best_score = -1;
        for (const auto& [name, weight] : weights) {
            const double score = weighted_rendezvous_score(key, name, weight);
            if (score > best_score) {
                best_score = score;
                best = name;
            }
        }
        ++chosen[best];
    }
    CHECK(chosen["large"] > keys * 0.55);
    CHECK(chosen["large"] < keys * 0.65);
    CHECK(chosen["small"] > keys * 0.16);
}
