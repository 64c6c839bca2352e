#include "config/parse.hpp"
#include "config/validate.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::config;

namespace {

struct refused_case {
    std::string key;
    std::string text;
    std::string field;
};

const std::string three_stages =
    R"([{"name":"a","pool":"p"},{"name":"b","pool":"p"},{"name":"c","pool":"p"}])";

} // namespace

TEST_CASE("a profile is read with its defaults") {
    const auto read = parse_value("profiles/fast", R"({
        // a comment
        "deadline_ms": 500, "priority": "urgent", "limits": {"concurrency": 3},
        "hedge": {"enabled": false}})");
    REQUIRE(read);
    const auto& value = std::get<profile>(read.value());
    REQUIRE(value.name == "fast");
    REQUIRE(value.deadline == milliseconds{500});
    REQUIRE(value.priority == lane::urgent);
    REQUIRE(value.limit.concurrency == 3);
    REQUIRE(value.limit.queue == limits{}.queue);
    REQUIRE_FALSE(value.hedging.enabled);
}

TEST_CASE("services of both kinds are read") {
    const auto assistant = parse_value(
        "services/draft", R"({"kind":"pipeline","profile":"x","stages":)" + three_stages + "}");
    REQUIRE(assistant);
    REQUIRE(stages_of(std::get<service>(assistant.value())).size() == 3);
    const auto orders = parse_value(
        "services/orders", R"({"kind":"plain","profile":"x","pool":"o","repeatable":true})");
    REQUIRE(orders);
    REQUIRE(std::get<service>(orders.value()).repeatable);
    REQUIRE(stages_of(std::get<service>(orders.value())).front().name == "orders");
}

TEST_CASE("a faulty value is refused with its key, path and what is allowed") {
    const auto refused = GENERATE_COPY(values<refused_case>({
        {"profiles/a", "{", "profiles/a"},
        {"profiles/a", "[]", "profiles/a"},
        {"profiles/a", R"({"deadline_ms":0})", "profiles/a: deadline_ms"},
        {"profiles/a", R"({"deadline_ms":"1"})", "profiles/a: deadline_ms"},
        {"profiles/a", R"({"deadline_ms":1.5})", "profiles/a: deadline_ms"},
        {"profiles/a", R"({"limits":{"concurrency":-1}})", "profiles/a: limits.concurrency"},
        {"profiles/a", R"({"limits":{"size":1}})", "profiles/a: limits.size"},
        {"profiles/a", R"({"limits":[]})", "profiles/a: limits"},
        {"profiles/a", R"({"retry":{"budget_ratio":1e400}})", "profiles/a: retry.budget_ratio"},
        {"profiles/a", R"({"ramp":{"cold_limit":9}})", "profiles/a: ramp.cold_limit"},
        {"profiles/a", R"({"priority":"high"})", "profiles/a: priority"},
        {"services/a", R"({"kind":"plain","profile":"x"})", "services/a: pool"},
        {"services/a", R"({"kind":"plain","pool":"x"})", "services/a: profile"},
        {"services/a", R"({"kind":"plain","pool":"x","profile":"p","stages":[]})",
         "services/a: stages"},
        {"services/a", R"({"kind":"pipeline","profile":"p","stages":[]})", "services/a: stages"},
        {"services/a",
         R"({"kind":"pipeline","profile":"p","stages":[{"name":"a","pool":"p"},{"name":"b"},{}]})",
         "services/a: stages[1].pool"},
        {"pools/a", R"({"kind":"gpu","profile":"p"})", "pools/a: kind"},
        {"workspaces/00", R"({"workspaces":{"tienda":{}}})", "workspaces/00: workspaces.tienda"},
        {"workspaces/40", R"({"workspaces":{}})", "workspaces/40"},
        {"data_centres/a", R"({"state":"maybe"})", "data_centres/a: state"},
        {"endpoints/a", "{}", "endpoints/a: state"},
        {"endpoints/", "{}", "endpoints/"},
        {"other/a", "{}", "other/a"},
        {"", "{}", ""},
    }));
    CAPTURE(refused.key, refused.text);
    const auto read = parse_value(refused.key, refused.text);
    REQUIRE_FALSE(read);
    REQUIRE(read.error().kind == error_kind::bad_request);
    REQUIRE(read.error().field == refused.field);
    REQUIRE(read.error().detail.find("allowed") != std::string::npos);
}

TEST_CASE("a value beyond the platform's size is refused") {
    const auto read = parse_value("profiles/a", std::string(value_bytes_limit + 1, ' '));
    REQUIRE_FALSE(read);
    REQUIRE(read.error().kind == error_kind::too_large);
}

TEST_CASE("a workspace is read from its shard") {
    const auto shard = workspace_shard("tienda");
    const auto read = parse_value("workspaces/" + shard,
                                  R"({"workspaces":{"tienda":{"share":2,"max_in_flight":4}}})");
    REQUIRE(read);
    const auto& value = std::get<workspace_shard_value>(read.value()).workspaces.front();
    REQUIRE(value.share == 2.0);
    REQUIRE(value.max_in_flight == 4);
}

TEST_CASE("a tree's faults name their key and path") {
    const std::vector<tree_entry> tree{
        {"profiles/good", "{}"},
        {"profiles/bad", R"({"deadline_ms":-1})"},
        {"pools/lost", R"({"kind":"plain","profile":"none"})"},
        {"services/lost", R"({"kind":"plain","profile":"good","pool":"none"})"},
        {"services/odd", R"({"kind":"pipeline","profile":"good","stages":)" + three_stages + "}"},
    };
    const auto faults = validate_tree(tree);
    std::vector<std::string> places;
    places.reserve(faults.size());
    for (const auto& one : faults) {
        places.push_back(one.key + " " + one.path);
    }
    REQUIRE(places == std::vector<std::string>{"profiles/bad deadline_ms", "pools/lost profile",
                                               "services/lost pool", "services/odd stages[0].pool",
                                               "services/odd stages[1].pool",
                                               "services/odd stages[2].pool"});
}
