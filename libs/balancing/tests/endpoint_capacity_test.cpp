#include "base/hash.hpp"
#include "chooser_model.hpp"

#include <catch2/catch.hpp>

#include <cmath>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};
const entry_group group{"self", {"self"}};

latency_summary run(const load_pattern& pattern, policy chosen_by) {
    const auto measured = chooser_model{pattern, chosen_by}.run();
    UNSCOPED_INFO("mean " << measured.mean_ms << " ms, p95 " << measured.p95_ms << " ms");
    return measured;
}

// Requires that the estimates lower the mean latency by a factor against each other policy.
void check_better(const load_pattern& pattern, double factor) {
    const auto estimates = run(pattern, policy::estimates);
    for (const auto other : {policy::round_robin, policy::least_requests, policy::previous_cost}) {
        const auto measured = run(pattern, other);
        CHECK(estimates.mean_ms < measured.mean_ms * factor);
        CHECK(estimates.p95_ms < measured.p95_ms * factor);
    }
}

const auto slow_sixth = [](std::size_t i, unsigned, double) { return i % 6 == 0 ? 1.3 : 1.0; };
// 15 in 100 of the time, at each endpoint at another time.
bool in_slow_period(std::size_t i, double at_s) {
    return std::fmod(at_s + 0.37 * static_cast<double>(i), 4.0) < 0.6;
}

} // namespace

TEST_CASE("pattern: equal endpoints are served no worse") {
    check_better({}, 1.03);
}

TEST_CASE("pattern: one endpoint in six is permanently 1.3 times slower") {
    load_pattern pattern;
    pattern.slowness = slow_sixth;
    SECTION("and reports 100") {}
    SECTION("and reports 130") {
        pattern.reported = [](std::size_t i, double) { return i % 6 == 0 ? 130.0 : 100.0; };
    }
    check_better(pattern, 1);
}

// Guards against moving so much load from the slower endpoints that the others overflow.
TEST_CASE("pattern: one endpoint in six is slower, near the limit of the service") {
    load_pattern pattern;
    pattern.slowness = slow_sixth;
    pattern.utilisation = 0.85;
    check_better(pattern, 0.97);
}

TEST_CASE("pattern: 2.5 times slower for 15 in 100 of the time, in periods of 0.6 s") {
    load_pattern pattern;
    pattern.slowness = [](std::size_t i, unsigned, double at_s) {
        return in_slow_period(i, at_s) ? 2.5 : 1.0;
    };
    pattern.reported = [](std::size_t i, double at_s) {
        return in_slow_period(i, at_s) ? 250.0 : 100.0;
    };
    check_better(pattern, 0.9);
}

// Guards against filling all slots of an endpoint that completes no more work with them.
TEST_CASE("pattern: a third of the endpoints slow down from a third of their slots on") {
    load_pattern pattern;
    pattern.slowness = [](std::size_t i, unsigned running, double) {
        return i % 3 == 0 && running > 2 ? 1 + 0.5 * (running - 2) : 1.0;
    };
    check_better(pattern, 0.9);
}

// Guards against an oscillation: entries that followed each other's estimates at once left single
// endpoints idle for seconds, and the mean latency was 2.5 s in place of 0.15 s (trial).
TEST_CASE("pattern: all endpoints slow down from a third of their slots on, near their limit") {
    load_pattern pattern;
    pattern.utilisation = 0.3;
    pattern.slowness = [](std::size_t, unsigned running, double) {
        return running > 2 ? 1 + 0.5 * (running - 2) : 1.0;
    };
    CHECK(run(pattern, policy::estimates).mean_ms < run(pattern, policy::previous_cost).mean_ms);
    CHECK(run(pattern, policy::estimates).mean_ms < 250);
}

TEST_CASE("pattern: four endpoints that are 3 times slower recover") {
    load_pattern pattern;
    pattern.slowness = [](std::size_t i, unsigned, double at_s) {
        return i < 4 && at_s < 12 ? 3.0 : 1.0;
    };
    check_better(pattern, 0.9);
}

TEST_CASE(
    "pattern: one endpoint reports 100 and is twice as slow, another reports 300 and is not") {
    load_pattern pattern;
    pattern.slowness = [](std::size_t i, unsigned, double) { return i == 0 ? 2.0 : 1.0; };
    pattern.reported = [](std::size_t i, double) { return i == 1 ? 300.0 : 100.0; };
    check_better(pattern, 0.98);
}

// Guards against a cost that is worse than the previous one where each entry sees little of each
// endpoint: a latency that was forgotten after 1 s cost 109 ms on average in place of 95.
TEST_CASE("pattern: 50 engines that read one prompt after another") {
    load_pattern pattern;
    pattern.engine = true;
    pattern.endpoints = 50;
    pattern.slots = 1;
    pattern.utilisation = 0.7;
    check_better(pattern, 1);
}

// With few choosers each knows most of the load, and least requests does nearly as well.
TEST_CASE("pattern: three choosers instead of 25") {
    load_pattern pattern;
    pattern.choosers = 3;
    pattern.slowness = slow_sixth;
    check_better(pattern, 1.03);
}

namespace {

std::vector<catalog::endpoint> make_endpoints(const std::vector<std::string>& ids, unsigned slots) {
    std::vector<catalog::endpoint> endpoints;
    for (const auto& id : ids) {
        auto& added = endpoints.emplace_back();
        added.id = id;
        added.service = "model";
        added.slots = slots;
    }
    return endpoints;
}

endpoint_pool make_pool(const std::vector<catalog::endpoint>& endpoints, bool engine,
                        time_point now) {
    catalog::service service;
    service.name = "model";
    service.engine = engine ? std::optional{catalog::engine_capacity{}} : std::nullopt;
    endpoint_pool pool;
    pool.set_endpoints(endpoints, {}, service, now);
    return pool;
}

// Records a request that took 40 ms, and the load report in its response.
void record_answer(endpoint_pool& pool, const std::string& endpoint, const reported_load& load,
                   time_point now) {
    const auto ticket = pool.on_request_sent(endpoint, {}, group, now);
    pool.on_load_report(endpoint, load, now);
    pool.on_first_byte(endpoint, ticket, now + milliseconds{40});
    pool.on_request_ended(endpoint, ticket, send_outcome::answered, now + milliseconds{40});
}

void check_chosen(endpoint_pool& pool, const std::string& expected, time_point now) {
    random_source random{3};
    for (int i = 0; i < 50; ++i) {
        CHECK(pool.choose({}, {}, group, now, random)->id == expected);
    }
}

// Choices among eight endpoints of equal latency and load, with or without the fourth figure.
std::vector<std::string> choices(std::optional<unsigned> slowness, bool engine) {
    const auto endpoints = make_endpoints({"0", "1", "2", "3", "4", "5", "6", "7"}, 4);
    auto pool = make_pool(endpoints, engine, start);
    for (const auto& one : endpoints) {
        record_answer(pool, one.id, {1, 0, 4, slowness}, start);
    }
    random_source random{3};
    std::vector<std::string> chosen;
    for (int i = 0; i < 200; ++i) {
        const std::string prompt = i % 2 == 0 ? "" : "prompt-" + std::to_string(i);
        choice_request request;
        request.affinity = prompt;
        chosen.push_back(pool.choose(request, {}, group, start + milliseconds{50}, random)->id);
    }
    return chosen;
}

} // namespace

// Guards against a change for deployments whose endpoints are equal or report three figures.
TEST_CASE("equal endpoints are chosen as without the fourth figure", "[invariant]") {
    const bool engine = GENERATE(false, true);
    CHECK(choices(100, engine) == choices(std::nullopt, engine));
}

// Guards against sending prompts to an engine where those of other entries wait.
TEST_CASE("prompts that wait at an engine for all callers count") {
    auto pool = make_pool(make_endpoints({"busy", "idle"}, 8), true, start);
    pool.on_load_report("busy", {4, 5, 8, 100}, start);
    pool.on_load_report("idle", {4, 0, 8, 100}, start);
    check_chosen(pool, "idle", start);
}

// Guards against an entry that ignores what others observe of an endpoint because it had responses
// from there long ago.
TEST_CASE("an old latency gives way to the estimates of other entries") {
    auto pool = make_pool(make_endpoints({"slow", "usual"}, 8), false, start);
    record_answer(pool, "slow", {1, 0, 8, 100}, start);
    record_answer(pool, "usual", {1, 0, 8, 100}, start);
    const auto later = start + seconds{40};
    pool.merge_capacity({{stable_hash("slow"), 0, 40, 0, milliseconds{0}}}, later);
    check_chosen(pool, "usual", later);
}

// Guards against prompts that are not counted as they were sent at the start of the clock.
TEST_CASE("prompts that wait at an engine count from the first moment on") {
    auto pool = make_pool(make_endpoints({"busy", "idle"}, 0), true, {});
    pool.on_request_sent("busy", {}, group, {});
    check_chosen(pool, "idle", {});
}
