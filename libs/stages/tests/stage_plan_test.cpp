#include "stages/stage_plan.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

catalog::stage make_stage(std::string service, std::vector<std::size_t> after) {
    catalog::stage stage;
    stage.service = std::move(service);
    stage.after = std::move(after);
    return stage;
}

catalog::route chain() {
    catalog::route route;
    route.stages = {make_stage("a", {}), make_stage("b", {}), make_stage("c", {1}),
                    make_stage("d", {2})};
    return route;
}

std::vector<piece_result> made_results(std::initializer_list<const char*> handles) {
    std::vector<piece_result> results;
    for (const auto* const handle : handles) {
        results.push_back({piece_outcome::made, handle});
    }
    return results;
}

using indices = std::vector<std::size_t>;
using handles = std::vector<std::string>;

} // namespace

TEST_CASE("a stage is ready as soon as its inputs are complete") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {2, 1, 2, 1});
    REQUIRE(plan);
    CHECK(plan.value().take_ready() == indices{0, 1});
    CHECK(plan.value().take_ready().empty());
    CHECK(plan.value().pieces_of(0).size() == 2);
    CHECK(plan.value().pieces_of(0)[1].key == "key");
    plan.value().set_results(1, made_results({"x/1"}));
    CHECK(plan.value().take_ready() == indices{2});
    CHECK(plan.value().pieces_of(2)[0].inputs == handles{"x/1"});
    CHECK(plan.value().pieces_of(2)[0].key.empty());
    plan.value().set_results(2, made_results({"y/1", "y/2"}));
    CHECK(plan.value().take_ready() == indices{3});
    plan.value().set_results(0, made_results({"w/1", "w/2"}));
    CHECK_FALSE(plan.value().complete());
    plan.value().set_results(3, made_results({"z/1"}));
    CHECK(plan.value().complete());
    CHECK(plan.value().final_inputs() == handles{"w/1", "w/2", "z/1"});
}

TEST_CASE("a stage without pieces is skipped") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {0, 1});
    REQUIRE(plan);
    CHECK(plan.value().take_ready() == indices{1});
    plan.value().set_results(1, made_results({"x/1"}));
    CHECK(plan.value().take_ready().empty());
    CHECK(plan.value().complete());
    CHECK(plan.value().final_inputs() == handles{"x/1"});
}

TEST_CASE("only failed pieces run again") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {3});
    REQUIRE(plan);
    CHECK(plan.value().take_ready() == indices{0});
    plan.value().set_results(
        0,
        {{piece_outcome::made, "w/0"}, {piece_outcome::failed, ""}, {piece_outcome::made, "w/2"}});
    CHECK(plan.value().take_ready() == indices{0});
    const auto missing = plan.value().pieces_of(0);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].number == 1);
    plan.value().set_results(0, made_results({"v/1"}));
    CHECK(plan.value().final_inputs() == handles{"w/0", "v/1", "w/2"});
}

TEST_CASE("results are released once, when nothing reads them any more") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {0, 1, 1, 1});
    REQUIRE(plan);
    plan.value().set_results(1, made_results({"x"}));
    CHECK(plan.value().take_releasable().empty());
    plan.value().set_results(2, made_results({"y"}));
    const auto releasable = plan.value().take_releasable();
    REQUIRE(releasable.size() == 1);
    CHECK(releasable[0].stage == 1);
    CHECK(releasable[0].handles == handles{"x"});
    CHECK(plan.value().take_releasable().empty());
    plan.value().set_results(3, made_results({"z"}));
    CHECK(plan.value().take_releasable().size() == 1);
    CHECK(plan.value().take_all().size() == 1);
    CHECK(plan.value().take_all().empty());
}

TEST_CASE("a lost result is computed again, together with its released inputs") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {0, 1, 1, 1});
    REQUIRE(plan);
    (void)plan.value().take_ready();
    plan.value().set_results(1, made_results({"x"}));
    (void)plan.value().take_ready();
    plan.value().set_results(2, made_results({"y"}));
    (void)plan.value().take_releasable();
    (void)plan.value().take_ready();
    plan.value().set_results(3, made_results({"z"}));
    (void)plan.value().take_releasable();
    plan.value().invalidate_results([](const std::string& handle) { return handle == "z"; });
    CHECK_FALSE(plan.value().complete());
    CHECK(plan.value().take_ready() == indices{1});
}

TEST_CASE("a stage that depends on a later one is rejected") {
    catalog::route route;
    route.stages = {make_stage("a", {1}), make_stage("b", {})};
    CHECK_FALSE(stage_plan::make(route, "r", "key", {1, 1}));
}

TEST_CASE("a stage that only the request reads can wait for the longest path beside it") {
    const auto route = chain(); // "a" beside "b", "c" and "d" one after another
    auto plan = stage_plan::make(route, "r", "key", {2, 1, 2, 1});
    REQUIRE(plan);
    auto& stages = plan.value();
    const auto time_of = [](std::size_t stage, std::size_t /*pieces*/) {
        return stage == 0 ? milliseconds{250} : milliseconds{200};
    };
    CHECK(stages.start_delay(0, time_of) == milliseconds{350});
    CHECK(stages.start_delay(1, time_of) == milliseconds{0}); // others read its results
    stages.set_results(1, made_results({"x/1"}));
    CHECK(stages.start_delay(0, time_of) == milliseconds{150});
    stages.set_results(2, made_results({"y/1", "y/2"}));
    CHECK(stages.start_delay(0, time_of) == milliseconds{0});
}

// Guards against a stage that is never run again because an earlier run of it was broken off.
TEST_CASE("a stage whose run ended without results is ready again") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {1, 1, 1, 1});
    REQUIRE(plan);
    CHECK(plan.value().take_ready() == indices{0, 1});
    plan.value().set_results(0, made_results({"x/1"}));
    (void)plan.value().take_all();
    plan.value().invalidate_results([](const std::string&) { return true; });
    CHECK(plan.value().take_ready() == indices{0});
    plan.value().set_results(0, {});
    plan.value().set_results(1, {});
    CHECK_FALSE(plan.value().complete());
    CHECK(plan.value().take_ready() == indices{0, 1});
    plan.value().set_results(0, made_results({"x/2"}));
    REQUIRE(plan.value().take_all().size() == 1);
}
