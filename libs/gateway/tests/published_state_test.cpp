// Which published values are in force after the store returned from an older copy of itself.
#include "published_state.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

const time_point start{seconds{1'000}};
constexpr std::string_view endpoint_key = "servers/i-1";

std::string configuration(unsigned version, const std::string& key = "key") {
    return R"({"version":)" + std::to_string(version) +
           R"(,"tenants":[{"name":"team","api_keys":[")" + key + R"("]}]})";
}

std::string registration(unsigned sequence, const std::string& state = "ready",
                         unsigned born = 77) {
    return R"({"service":"model","address":"10.0.0.1:80","zone":"a","state":")" + state +
           R"(","born":)" + std::to_string(born) + R"(,"sequence":)" + std::to_string(sequence) +
           '}';
}

struct published_fixture {
    published_state state;

    void configure(catalog::store_position at, const std::string& value) {
        state.operator_keys().apply_listing({{"op/config", at, value}}, at, start);
    }
    void report(catalog::store_position at, std::optional<std::string> value) {
        state.endpoint_keys().apply_changes({{std::string{endpoint_key}, at, std::move(value)}}, at,
                                            start);
    }
    // The endpoint that would get requests.
    std::optional<catalog::endpoint> in_service() {
        for (const auto& one : state.build(start).endpoints) {
            if (one.state == catalog::endpoint_state::ready && !one.removed_at) {
                return one;
            }
        }
        return std::nullopt;
    }
};

} // namespace

TEST_CASE_METHOD(published_fixture, "a configuration of a later era comes into force") {
    configure({1, 90}, configuration(5));
    CHECK(state.build(start).config->version == 5);
    configure({2, 40}, configuration(8));
    const auto built = state.build(start);
    CHECK(built.config->version == 8);
    CHECK(built.config_position == catalog::store_position{2, 40});
}

// Guards against a version that endpoints have acted on, or a revoked key, that returns with an
// older copy of the store.
TEST_CASE_METHOD(published_fixture, "a configuration with a lower version is not taken") {
    configure({1, 90}, configuration(6, "new"));
    CHECK(state.build(start).config->version == 6);
    configure({2, 40}, configuration(5, "revoked"));
    const auto built = state.build(start);
    CHECK(built.config->version == 6);
    CHECK_FALSE(built.config->directory->by_key.contains("revoked"));
    configure({2, 41}, configuration(6, "new"));
    CHECK(state.build(start).config_position == catalog::store_position{2, 41});
    configure({2, 45}, configuration(7, "newer"));
    CHECK(state.build(start).config->version == 7);
}

// Guards against an endpoint that has left and returns with an older copy of the store.
TEST_CASE_METHOD(published_fixture,
                 "a registration from an older copy does not revive an endpoint") {
    report({1, 50}, registration(4));
    CHECK(in_service());
    report({1, 90}, std::nullopt);
    CHECK_FALSE(in_service());
    report({2, 50}, registration(4));
    CHECK_FALSE(in_service());
    SECTION("one that reports again is alive") {
        report({2, 61}, registration(9));
        CHECK(in_service());
    }
    SECTION("one that has started again is alive") {
        report({2, 61}, registration(1, "ready", 99));
        CHECK(in_service());
    }
    SECTION("the copy's entry expires") {
        report({2, 61}, std::nullopt);
        CHECK_FALSE(in_service());
    }
}

TEST_CASE_METHOD(published_fixture, "an endpoint that drains does not become ready again") {
    report({1, 50}, registration(4));
    report({1, 60}, registration(5, "draining"));
    CHECK_FALSE(in_service());
    report({2, 50}, registration(4));
    CHECK_FALSE(in_service());
    report({2, 61}, registration(8));
    CHECK_FALSE(in_service());
    report({2, 62}, registration(1, "ready", 99));
    CHECK(in_service());
}

TEST_CASE_METHOD(published_fixture, "an older report from a copy does not replace a newer one") {
    report({1, 50}, registration(4));
    (void)state.build(start);
    report({1, 60}, registration(6));
    (void)state.build(start);
    report({2, 50}, registration(4));
    REQUIRE(in_service());
    CHECK(in_service()->sequence == 6);
}

TEST_CASE_METHOD(published_fixture, "keys that a restored store lacks expire") {
    state.operator_keys().apply_listing(
        {{"op/config", {1, 20}, configuration(5)}, {"op/evacuate/b", {1, 90}, "{}"}}, {1, 100},
        start);
    report({1, 90}, registration(4));
    CHECK(state.build(start).evacuated.contains("b"));
    configure({2, 20}, configuration(5));
    state.endpoint_keys().apply_listing({}, {2, 30}, start);
    CHECK(state.build(start).evacuated.contains("b"));
    CHECK(in_service());
    CHECK_FALSE(state.expire_unconfirmed(start + milliseconds{2'000}));
    CHECK(state.expire_unconfirmed(start + milliseconds{3'000}));
    CHECK(state.build(start).evacuated.empty());
    CHECK_FALSE(in_service());
    CHECK(state.build(start).config->version == 5);
}
