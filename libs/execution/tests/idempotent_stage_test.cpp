/// \file
/// Properties of retries and hedges on a virtual clock: budgets bound extra attempts and the first
/// result wins.
#include "base/random.hpp"
#include "execution/idempotent_stage.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <vector>

using namespace boragefront;
using namespace boragefront::execution;

namespace {

const std::vector<std::uint64_t> seeds{1, 2, 3, 5, 8, 13, 21, 34};
constexpr double amplification_bound = 1.1;
constexpr unsigned offered_requests = 1'000;

stage_budgets default_budgets() {
    return {attempt_budget{0.1, 10.0}, attempt_budget{0.05, 10.0}};
}

// Budgets that never run out, as if the mechanism were disabled.
stage_budgets unlimited_budgets() {
    constexpr double unlimited = 1e9;
    return {attempt_budget{1.0, unlimited}, attempt_budget{1.0, unlimited}};
}

idempotent_limits default_limits(time_point now) {
    idempotent_limits limits;
    limits.max_attempts = 3;
    limits.hedge_after = milliseconds{50};
    limits.stall_after = milliseconds{400};
    limits.deadline = now + seconds{1};
    return limits;
}

struct scheduled_end {
    unsigned attempt;
    bool succeeds;
};

// One request whose attempts end at random times.
class simulated_request {
public:
    simulated_request(random_source& random, double success_rate, time_point now)
        : random_{random}, success_rate_{success_rate}, now_{now}, machine_{default_limits(now)} {}

    void run(stage_budgets& budgets) {
        for (;;) {
            const auto step = machine_.next(now_, budgets);
            if (const auto* launch = std::get_if<launch_attempt>(&step)) {
                ++sent;
                schedule(launch->attempt);
            } else if (const auto* wait = std::get_if<wait_until>(&step)) {
                advance(wait->at);
            } else {
                finish(step, budgets);
                return;
            }
        }
    }

    unsigned sent{0};
    std::vector<unsigned> wins;
    std::optional<unsigned> first_success;
    std::optional<unsigned> used;

private:
    void schedule(unsigned attempt) {
        std::uniform_int_distribution<int> latency{1, 1'500};
        std::bernoulli_distribution succeeds{success_rate_};
        ends_.emplace(now_ + milliseconds{latency(random_)},
                      scheduled_end{attempt, succeeds(random_)});
    }

    void advance(time_point until) {
        REQUIRE(until > now_);
        if (ends_.empty() || ends_.begin()->first > until) {
            now_ = until;
            return;
        }
        now_ = std::max(now_, ends_.begin()->first);
        const auto end = ends_.begin()->second;
        ends_.erase(ends_.begin());
        deliver(end);
    }

    void deliver(scheduled_end end) {
        if (!end.succeeds) {
            machine_.on_failure(end.attempt, make_error(error_kind::stage_failed, "failed"), now_);
            return;
        }
        first_success = first_success.value_or(end.attempt);
        if (machine_.on_success(end.attempt)) {
            wins.push_back(end.attempt);
        }
    }

    void finish(const idempotent_step& step, stage_budgets& budgets) {
        if (const auto* result = std::get_if<use_result>(&step)) {
            used = result->attempt;
            budgets.retries.deposit();
            budgets.hedges.deposit();
        }
        // Answers that arrive after the end, for example because a cancellation came too late.
        while (!ends_.empty()) {
            const auto end = ends_.begin()->second;
            ends_.erase(ends_.begin());
            deliver(end);
        }
    }

    random_source& random_;
    double success_rate_;
    time_point now_;
    idempotent_stage machine_;
    std::multimap<time_point, scheduled_end> ends_;
};

double amplification(std::uint64_t seed, double success_rate, stage_budgets budgets) {
    random_source random{seed};
    unsigned sent = 0;
    time_point now{seconds{100}};
    for (unsigned i = 0; i < offered_requests; ++i) {
        simulated_request request{random, success_rate, now};
        request.run(budgets);
        sent += request.sent;
        now += milliseconds{10};
    }
    return static_cast<double>(sent) / offered_requests;
}

} // namespace

TEST_CASE("amplification stays within the bound when every attempt fails", "[property]") {
    for (const auto seed : seeds) {
        CAPTURE(seed);
        REQUIRE(amplification(seed, 0.0, default_budgets()) <= amplification_bound);
    }
}

TEST_CASE("amplification exceeds the bound without budgets", "[property]") {
    REQUIRE(amplification(seeds.front(), 0.0, unlimited_budgets()) > amplification_bound);
}

TEST_CASE("budgets never grant more than their reserve plus their ratio of successes",
          "[property]") {
    for (const auto seed : seeds) {
        CAPTURE(seed);
        random_source random{seed};
        attempt_budget budget{0.1, 10.0};
        std::bernoulli_distribution succeeds{0.5};
        unsigned granted = 0;
        unsigned deposits = 0;
        for (int i = 0; i < 10'000; ++i) {
            if (succeeds(random)) {
                budget.deposit();
                ++deposits;
            } else if (budget.try_withdraw()) {
                ++granted;
            }
            REQUIRE(granted <= 10.0 + 0.1 * deposits + 1e-6);
        }
    }
}

TEST_CASE("the first result wins and later results are discarded", "[property]") {
    unsigned races = 0;
    for (const auto seed : seeds) {
        CAPTURE(seed);
        random_source random{seed};
        auto budgets = unlimited_budgets();
        for (int i = 0; i < 500; ++i) {
            simulated_request request{random, 0.7, time_point{seconds{100}}};
            request.run(budgets);
            races += request.sent > 1 ? 1 : 0;
            if (request.used) {
                REQUIRE(request.used == request.first_success);
                REQUIRE(request.wins == std::vector<unsigned>{*request.used});
            }
        }
    }
    REQUIRE(races > 0);
}

TEST_CASE("a retry after a refusal without work needs no budget, one after a failure does") {
    stage_budgets none{attempt_budget{0.1, 0.0}, attempt_budget{0.1, 0.0}};
    const time_point now{seconds{100}};
    const auto step_after = [&](error_kind kind) {
        idempotent_stage machine{default_limits(now)};
        REQUIRE(std::holds_alternative<launch_attempt>(machine.next(now, none)));
        machine.on_failure(0, make_error(kind, "refused"), now);
        return machine.next(now, none);
    };
    REQUIRE(std::holds_alternative<launch_attempt>(step_after(error_kind::shutting_down)));
    REQUIRE(std::holds_alternative<launch_attempt>(step_after(error_kind::connect_failed)));
    REQUIRE(std::holds_alternative<give_up>(step_after(error_kind::stage_failed)));
    REQUIRE(std::holds_alternative<give_up>(step_after(error_kind::bad_request)));
}

TEST_CASE("the reported error covers all attempts, not only the last") {
    auto budgets = default_budgets();
    const time_point now{seconds{100}};
    idempotent_stage machine{default_limits(now)};
    (void)machine.next(now, budgets);
    machine.on_failure(0, make_error(error_kind::stage_failed, "ran and failed"), now);
    (void)machine.next(now, budgets);
    machine.on_failure(1, make_error(error_kind::no_endpoint, "no endpoint left"), now);
    const auto end = std::get<give_up>(machine.next(now, budgets));
    REQUIRE(end.failure.kind == error_kind::stage_failed);
    REQUIRE(end.failure.ran == work_ran::yes);
    REQUIRE(combined(work_ran::no, work_ran::unknown) == work_ran::unknown);
    REQUIRE(combined(work_ran::no, work_ran::no) == work_ran::no);
}

TEST_CASE("a deadline that passes before an attempt was sent is reported as not run") {
    auto budgets = default_budgets();
    const time_point now{seconds{100}};
    idempotent_stage machine{default_limits(now)};
    (void)machine.next(now, budgets);
    const auto unsent = std::get<give_up>(machine.next(now + seconds{1}, budgets));
    REQUIRE(unsent.failure.kind == error_kind::expired);
    REQUIRE(unsent.failure.ran == work_ran::no);
    machine.on_sent(0);
    const auto sent = std::get<give_up>(machine.next(now + seconds{1}, budgets));
    REQUIRE(sent.failure.kind == error_kind::deadline_exceeded);
    REQUIRE(sent.failure.ran == work_ran::unknown);
}

TEST_CASE("a stalled attempt is retried and may still win") {
    auto budgets = default_budgets();
    time_point now{seconds{100}};
    auto limits = default_limits(now);
    limits.hedge_after = std::nullopt;
    idempotent_stage machine{limits};
    (void)machine.next(now, budgets);
    now = std::get<wait_until>(machine.next(now, budgets)).at;
    REQUIRE(now == time_point{seconds{100}} + limits.stall_after);
    REQUIRE(std::get<launch_attempt>(machine.next(now, budgets)).reason == attempt_reason::retry);
    REQUIRE(machine.on_success(0));
    REQUIRE_FALSE(machine.on_success(1));
    REQUIRE(std::get<use_result>(machine.next(now, budgets)).attempt == 0);
}
