/// \file
/// Feeds mutated settings to the parser: it answers each without a crash, and accepts none whose
/// values are outside the documented ranges.
#include "base/random.hpp"
#include "settings/settings.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace boragefront;
using namespace boragefront::settings;

namespace {

constexpr unsigned rounds = 20'000;
constexpr unsigned most_edits = 4;

const std::string seed_text = R"({"role": "sidecar", "id": "s-1", "data_centre": "puebla-nte",
  "data_address": "127.0.0.1:0", "control_address": "127.0.0.1:0", /* c */
  "platform_address": "127.0.0.1:7000", "seed_peers": ["127.0.0.1:1"], "logs": "json",
  "drain_timeout_ms": 5000, "sidecar": {"pool": "p", "endpoint_address": "127.0.0.1:9"}})";

std::size_t below(std::size_t bound, random_source& random) {
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
}

void edit(std::string& text, random_source& random) {
    static constexpr std::array<std::string_view, 10> tokens{
        "{", "}", "[", "null", "-1", "1e999", "\"", "\\u0000", "//", "99999999999999999999"};
    const auto at = below(text.size(), random);
    switch (below(4, random)) {
    case 0:
        text.resize(at + 1);
        break;
    case 1:
        text.insert(at, tokens.at(below(tokens.size(), random)));
        break;
    case 2:
        text.erase(at, 1 + below(20, random));
        break;
    default:
        text[at] = static_cast<char>(below(256, random));
    }
    if (text.empty()) {
        text = " ";
    }
}

} // namespace

TEST_CASE("mutated settings are accepted within their ranges or refused with a reason") {
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    random_source random{seed};
    for (unsigned round = 0; round < rounds; ++round) {
        std::string text = seed_text;
        const auto edits = 1 + below(most_edits, random);
        for (std::size_t i = 0; i < edits; ++i) {
            edit(text, random);
        }
        const auto read = parse(text);
        CAPTURE(round, text);
        if (!read) {
            REQUIRE_FALSE(read.error().detail.empty());
            continue;
        }
        REQUIRE(read.value().drain_timeout >= milliseconds{100});
        REQUIRE(read.value().drain_timeout <= milliseconds{600'000});
        REQUIRE_FALSE(read.value().id.empty());
    }
}

TEST_CASE("deep nesting is refused") {
    REQUIRE_FALSE(parse(std::string(100'000, '[')));
    REQUIRE_FALSE(parse(R"({"seed_peers": )" + std::string(100'000, '[')));
}
