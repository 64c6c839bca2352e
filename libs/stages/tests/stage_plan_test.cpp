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

// Two stages that read the results of the first one.
catalog::route branching() {
    catalog::route route;
    route.stages = {make_stage("a", {}), make_stage("b", {0}), make_stage("c", {0})};
    return route;
}

std::vector<piece_result> made_results(std::initializer_list<const char*> handles) {
    std::vector<piece_result> results;
    for (const auto* const handle : handles) {
        results.push_back({piece_outcome::made, handle});
    }
    return results;
}

// Runs the missing pieces of a stage to their end.
void run(stage_plan& plan, std::size_t stage, const std::vector<piece_result>& results) {
    (void)plan.begin_run(stage);
    CHECK(plan.end_run(stage, results).empty());
}

using indices = std::vector<std::size_t>;
using handles = std::vector<std::string>;

handles final_inputs(const stage_plan& plan) {
    const auto inputs = plan.final_inputs();
    REQUIRE(inputs);
    return inputs.value();
}

} // namespace

TEST_CASE("a stage is ready as soon as its inputs are complete") {
    const auto route = chain();
    auto made = stage_plan::make(route, "r", "key", {2, 1, 2, 1});
    REQUIRE(made);
    auto& plan = made.value();
    CHECK(plan.ready() == indices{0, 1});
    const auto of_first = plan.begin_run(0);
    (void)plan.begin_run(1);
    CHECK(plan.ready().empty());
    CHECK(of_first.size() == 2);
    CHECK(of_first[1].key == "key");
    CHECK(plan.end_run(1, made_results({"x/1"})).empty());
    CHECK(plan.ready() == indices{2});
    const auto of_third = plan.begin_run(2);
    CHECK(of_third[0].inputs == handles{"x/1"});
    CHECK(of_third[0].key.empty());
    CHECK(plan.end_run(2, made_results({"y/1", "y/2"})).empty());
    CHECK(plan.ready() == indices{3});
    CHECK(plan.end_run(0, made_results({"w/1", "w/2"})).empty());
    CHECK_FALSE(plan.complete());
    CHECK_FALSE(plan.final_inputs());
    run(plan, 3, made_results({"z/1"}));
    CHECK(plan.complete());
    CHECK(final_inputs(plan) == handles{"w/1", "w/2", "z/1"});
}

TEST_CASE("a stage without pieces is skipped") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {0, 1});
    REQUIRE(plan);
    CHECK(plan.value().ready() == indices{1});
    run(plan.value(), 1, made_results({"x/1"}));
    CHECK(plan.value().ready().empty());
    CHECK(plan.value().complete());
    CHECK(final_inputs(plan.value()) == handles{"x/1"});
}

TEST_CASE("only failed pieces run again") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {3});
    REQUIRE(plan);
    CHECK(plan.value().ready() == indices{0});
    run(plan.value(), 0,
        {{piece_outcome::made, "w/0"}, {piece_outcome::failed, ""}, {piece_outcome::made, "w/2"}});
    CHECK(plan.value().ready() == indices{0});
    const auto missing = plan.value().begin_run(0);
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].number == 1);
    CHECK(plan.value().end_run(0, made_results({"v/1"})).empty());
    CHECK(final_inputs(plan.value()) == handles{"w/0", "v/1", "w/2"});
}

TEST_CASE("results are released once, when nothing reads them any more") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {0, 1, 1, 1});
    REQUIRE(plan);
    run(plan.value(), 1, made_results({"x"}));
    CHECK(plan.value().take_releasable().empty());
    run(plan.value(), 2, made_results({"y"}));
    const auto releasable = plan.value().take_releasable();
    REQUIRE(releasable.size() == 1);
    CHECK(releasable[0].stage == 1);
    CHECK(releasable[0].handles == handles{"x"});
    CHECK(plan.value().take_releasable().empty());
    run(plan.value(), 3, made_results({"z"}));
    CHECK(plan.value().take_releasable().size() == 1);
    CHECK(plan.value().take_all().size() == 1);
    CHECK(plan.value().take_all().empty());
}

TEST_CASE("a lost result is computed again, together with its released inputs") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {0, 1, 1, 1});
    REQUIRE(plan);
    run(plan.value(), 1, made_results({"x"}));
    run(plan.value(), 2, made_results({"y"}));
    (void)plan.value().take_releasable();
    run(plan.value(), 3, made_results({"z"}));
    (void)plan.value().take_releasable();
    plan.value().invalidate_results([](const std::string& handle) { return handle == "z"; });
    CHECK_FALSE(plan.value().complete());
    CHECK(plan.value().ready() == indices{1});
}

// Guards against requests that are answered with some pieces twice and others never.
TEST_CASE("results of a run go to its own pieces although others were lost meanwhile") {
    const auto route = branching();
    auto made = stage_plan::make(route, "r", "key", {1, 2, 4});
    REQUIRE(made);
    auto& plan = made.value();
    run(plan, 0, made_results({"x"}));
    run(plan, 1, made_results({"y/0", "y/1"}));
    run(plan, 2, made_results({"z/0", "z/1", "z/2", "z/3"}));
    plan.invalidate_results([](const std::string& handle) {
        return handle == "x" || handle == "y/1" || handle == "z/2" || handle == "z/3";
    });
    run(plan, 0, made_results({"x2"}));
    REQUIRE(plan.ready() == indices{1, 2});
    REQUIRE(plan.begin_run(1).size() == 1);
    REQUIRE(plan.begin_run(2).size() == 2);
    CHECK(plan.end_run(1, {{piece_outcome::input_gone, ""}}).empty());
    plan.invalidate_results([](const std::string&) { return true; });
    CHECK(plan.end_run(2, made_results({"v/2", "v/3"})).empty());
    run(plan, 0, made_results({"x3"}));
    const auto missing = plan.begin_run(2);
    REQUIRE(missing.size() == 2);
    CHECK(missing[0].number == 0);
    CHECK(missing[1].number == 1);
    CHECK(plan.end_run(2, made_results({"v/0", "v/1"})).empty());
    run(plan, 1, made_results({"w/0", "w/1"}));
    CHECK(final_inputs(plan) == handles{"w/0", "w/1", "v/0", "v/1", "v/2", "v/3"});
}

// Guards against an endpoint that names one result for two pieces.
TEST_CASE("a result that is named twice fills one slot and is not released") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {2});
    REQUIRE(plan);
    (void)plan.value().begin_run(0);
    CHECK(plan.value().end_run(0, made_results({"w/0", "w/0"})).empty());
    CHECK_FALSE(plan.value().complete());
    REQUIRE(plan.value().begin_run(0).size() == 1);
    CHECK(plan.value().end_run(0, made_results({"w/0"})).empty());
    CHECK_FALSE(plan.value().final_inputs());
    CHECK(plan.value().take_all().size() == 1);
}

TEST_CASE("results that cannot be related to pieces are handed back") {
    const auto route = chain();
    auto plan = stage_plan::make(route, "r", "key", {2});
    REQUIRE(plan);
    (void)plan.value().begin_run(0);
    CHECK(plan.value().end_run(0, made_results({"w/0"})) == handles{"w/0"});
    CHECK(plan.value().ready() == indices{0});
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
    run(stages, 1, made_results({"x/1"}));
    CHECK(stages.start_delay(0, time_of) == milliseconds{150});
    run(stages, 2, made_results({"y/1", "y/2"}));
    CHECK(stages.start_delay(0, time_of) == milliseconds{0});
}

// Guards against a stage that is never run again because an earlier run of it was broken off.
TEST_CASE("a stage whose run ended without results is ready again") {
    const auto route = chain();
    auto made = stage_plan::make(route, "r", "key", {1, 1, 1, 1});
    REQUIRE(made);
    auto& plan = made.value();
    CHECK(plan.ready() == indices{0, 1});
    (void)plan.begin_run(1);
    run(plan, 0, made_results({"x/1"}));
    (void)plan.take_all();
    plan.invalidate_results([](const std::string&) { return true; });
    CHECK(plan.ready() == indices{0});
    run(plan, 0, {});
    CHECK(plan.end_run(1, {}).empty());
    CHECK_FALSE(plan.complete());
    CHECK(plan.ready() == indices{0, 1});
    run(plan, 0, made_results({"x/2"}));
    REQUIRE(plan.take_all().size() == 1);
}
