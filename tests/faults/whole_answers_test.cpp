/// \file
/// Every caller receives the whole answer to its own request, and no stage result is lost, doubled
/// or given to another request.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

constexpr deployment_options pipelines{.order_workers = 1, .engines = 2};

void set_on_engines(cluster& deployment, const std::string& faults) {
    for (auto& slot : deployment.slots()) {
        if (slot.spec.pool == "engines") {
            REQUIRE(slot.endpoint->set_faults(faults));
        }
    }
}

bool whole(const call_record& answer) {
    return answer.whole;
}

} // namespace

TEST_CASE("concurrent equal bodies, streams and delayed answers stay with their callers",
          "[invariant]") {
    auto options = pipelines;
    options.relayed = true;
    const auto deployment = start_deployment(options);
    auto equal = draft_request(false);
    equal.same_body = true;
    running_load load{*deployment,
                      {.mix = {equal, draft_request(false), draft_request(true)}, .callers = 8}};
    load.wait_whole(40);
    // Answers of one of two come later than those of the other, and later than a retry's.
    for (const auto* id : {"encoder-0", "reranker-1", "engine-0"}) {
        REQUIRE(deployment->slot(id).relay->set_faults(R"({"answer_delay_ms": 150})"));
    }
    load.wait_whole(60);
    const auto judged = judge(*deployment, load.stop());
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
    REQUIRE(judged.whole == judged.calls);
}

TEST_CASE("a stream that is cut or stalls is never taken for the whole", "[invariant]") {
    const auto faults = GENERATE(R"({"cut_after_tokens": 3})", R"({"hang_after_tokens": 3})");
    CAPTURE(faults);
    const auto deployment = start_deployment(pipelines);
    set_on_engines(*deployment, faults);
    auto asked = draft_request(true);
    asked.deadline = milliseconds{1'500};
    std::vector<call_record> answers;
    blocking_client client;
    for (const auto& entry : deployment->entry_addresses()) {
        asked.marker = "broken " + entry;
        answers.push_back(make_call(client, entry, asked));
        INFO(answers.back().detail);
        REQUIRE_FALSE(answers.back().whole);
        REQUIRE(answers.back().status != 0);
    }
    set_on_engines(*deployment, R"({"cut_after_tokens": -1, "hang_after_tokens": -1})");
    asked.deadline = seconds{5};
    for (const auto& entry : deployment->entry_addresses()) {
        asked.marker = "mended " + entry;
        answers.push_back(make_call(client, entry, asked));
        INFO(answers.back().detail);
        REQUIRE(answers.back().whole);
    }
    const auto judged = judge(*deployment, answers);
    INFO(to_string(judged));
    REQUIRE(judged.faults.empty());
}

TEST_CASE("a stage that stalls ends its callers' requests by their deadline", "[invariant]") {
    const auto deployment = start_deployment(pipelines);
    for (const auto* id : {"reranker-0", "reranker-1"}) {
        REQUIRE(deployment->slot(id).endpoint->set_faults(R"({"silent": true})"));
    }
    auto asked = draft_request(false);
    asked.deadline = milliseconds{1'000};
    running_load load{*deployment, {.mix = {asked}, .callers = 3}};
    std::this_thread::sleep_for(seconds{2});
    const auto answers = load.stop();
    REQUIRE(std::none_of(answers.begin(), answers.end(), whole));
    for (const auto& answer : answers) {
        INFO(answer.kind << ' ' << answer.detail);
        REQUIRE(answer.status != 0);
    }
}
