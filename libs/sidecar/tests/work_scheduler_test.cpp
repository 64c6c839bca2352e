/// \file
/// Property tests of the scheduler: random interleavings on a virtual clock, each mechanism also
/// switched off to show that the checker sees its absence.
#include "scheduler_model.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace boragefront;
using namespace boragefront::sidecar;
using test::scheduler_model;
using test::violations;

namespace {

constexpr int seeds = 40;
constexpr int steps = 1'500;

scheduler_policy small_policy() {
    scheduler_policy policy;
    policy.limits = {4, 8};
    policy.ledger.retention = seconds{20};
    return policy;
}

// Runs every seed and returns the first one whose run satisfies `violated`.
std::optional<int> first_seed_with(const scheduler_policy& policy,
                                   const std::function<bool(const violations&)>& violated) {
    for (int seed = 1; seed <= seeds; ++seed) {
        scheduler_model model{policy, static_cast<std::uint64_t>(seed)};
        model.run(steps);
        if (violated(model.found())) {
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("no interleaving breaks an invariant of the scheduler") {
    std::size_t dispatched = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        scheduler_model model{small_policy(), static_cast<std::uint64_t>(seed)};
        model.run(steps);
        const auto& found = model.found();
        CHECK(found.over_limit.empty());
        CHECK(found.ran_twice.empty());
        CHECK(found.key_ran_twice.empty());
        CHECK(found.ran_and_refused.empty());
        CHECK(found.late.empty());
        CHECK(found.while_out.empty());
        dispatched += model.dispatched();
    }
    REQUIRE(dispatched > std::size_t{seeds} * 100);
}

TEST_CASE("without remembered identities work runs twice") {
    auto policy = small_policy();
    policy.ledger.check_identities = false;
    REQUIRE(first_seed_with(policy, [](const violations& v) { return !v.ran_twice.empty(); }));
    REQUIRE(
        first_seed_with(policy, [](const violations& v) { return !v.ran_and_refused.empty(); }));
}

TEST_CASE("without remembered keys a key runs twice") {
    auto policy = small_policy();
    policy.ledger.keys.record_keys = false;
    REQUIRE(first_seed_with(policy, [](const violations& v) { return !v.key_ran_twice.empty(); }));
}

TEST_CASE("without the account of abandoned work the endpoint's limit is passed") {
    auto policy = small_policy();
    policy.abandoned.enabled = false;
    REQUIRE(first_seed_with(policy, [](const violations& v) { return !v.over_limit.empty(); }));
}

TEST_CASE("without the check at dispatch stale work is sent") {
    auto policy = small_policy();
    policy.mechanisms.recheck_at_dispatch = false;
    REQUIRE(first_seed_with(policy, [](const violations& v) { return !v.late.empty(); }));
}

TEST_CASE("without the check of the phase an endpoint that is out gets work") {
    auto policy = small_policy();
    policy.mechanisms.check_phase = false;
    REQUIRE(first_seed_with(policy, [](const violations& v) { return !v.while_out.empty(); }));
}
