#include "base/random.hpp"
#include "platform_codec.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::control;

namespace {

const std::string config_answer = R"({"revision":9,"entries":[
    {"key":"profiles/fast","revision":3,"value":{"deadline_ms":500,"limits":{"queue":3}}},
    {"key":"services/orders","revision":4,"value":{"kind":"plain","pool":"p","profile":"fast"}},
    {"key":"endpoints/e","revision":9,"deleted":true}]})";
const std::string list_answer = R"({"instances":[{"id":"a","role":"entry","data_centre":"dc",
    "pool":"","data_address":"1.2.3.4:5","control_address":"1.2.3.4:6","state":"leaving"}]})";

std::string mutate(std::string text, random_source& random) {
    const std::string alphabet = "{}[]\",:0123456789.-eE+truefalsn\\u/* \x01\xff";
    const auto changes = 1 + random() % 5;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const auto at = random() % text.size();
        const auto drawn = alphabet[random() % alphabet.size()];
        switch (random() % 4) {
        case 0:
            text[at] = drawn;
            break;
        case 1:
            text.insert(at, 1, drawn);
            break;
        case 2:
            text.erase(at, 1 + random() % 8);
            break;
        default:
            text.insert(at, text.substr(at, random() % 40));
        }
    }
    return text;
}

} // namespace

TEST_CASE("answers of the platform are read") {
    const auto config = read_config_answer(config_answer);
    REQUIRE(config);
    REQUIRE(config.value().highest == 9);
    REQUIRE(config.value().entries.size() == 3);
    REQUIRE(config.value().entries.back().deleted);
    const auto list = read_instances_answer(list_answer);
    REQUIRE(list);
    REQUIRE(list.value().front().state == membership::instance_state::leaving);
}

TEST_CASE("a malformed answer of the platform names its field") {
    REQUIRE(read_config_answer("[]").error().field == "answer");
    REQUIRE(read_config_answer(R"({"revision":-1,"entries":[]})").error().field == "revision");
    REQUIRE(read_config_answer(R"({"revision":1,"entries":[{"key":"a"}]})").error().field ==
            "entries[0].revision");
    REQUIRE(read_instances_answer(R"({"instances":[{"id":1}]})").error().field ==
            "instances[0].id");
}

TEST_CASE("mutated answers and values are read or refused, and a store takes them", "[fuzz]") {
    constexpr std::uint64_t seed = 20261204;
    constexpr int rounds = 20'000;
    CAPTURE(seed);
    random_source random{seed};
    std::size_t read = 0;
    std::size_t refused = 0;
    config::config_store store;
    for (int i = 0; i < rounds; ++i) {
        auto config = read_config_answer(mutate(config_answer, random));
        (void)read_instances_answer(mutate(list_answer, random));
        if (!config) {
            REQUIRE(config.error().kind == error_kind::bad_request);
            ++refused;
            continue;
        }
        ++read;
        for (auto& entry : config.value().entries) {
            const auto before = store.highest();
            store.merge(std::move(entry));
            REQUIRE(store.highest() >= before);
        }
    }
    (void)store.build_snapshot();
    REQUIRE(read > 0);
    REQUIRE(refused > 0);
}
