/// \file
/// Properties of at-most-once execution, against simulated sidecars that lose messages, delay them
/// and restart.
#include "base/random.hpp"
#include "execution/at_most_once.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

using namespace boragefront;
using namespace boragefront::execution;

namespace {

constexpr unsigned seeds = 2'000;

// The rule of the state machine that a simulation disables.
enum class disabled_rule : std::uint8_t { none, unknown_after_lost_work, unknown_after_lost_query };

// Sidecars with ledgers behind an unreliable network. Each attempt has its own sidecar.
class simulation {
public:
    simulation(std::uint64_t seed, disabled_rule disabled) : random_{seed}, disabled_{disabled} {}

    void run() {
        at_most_once machine{{3, now_ + seconds{2}}};
        for (;;) {
            const auto step = machine.next(now_);
            if (const auto* send = std::get_if<send_work>(&step)) {
                exchange_work(machine, send->attempt);
            } else if (const auto* query = std::get_if<query_outcome>(&step)) {
                now_ = std::max(now_, query->at);
                exchange_query(machine, query->attempt);
            } else {
                if (const auto* end = std::get_if<report_failure>(&step)) {
                    reported = end->failure;
                }
                break;
            }
        }
        deliver_delayed();
    }

    unsigned runs{0};
    std::optional<error> reported; ///< empty if a result was returned

private:
    bool draw(double probability) { return std::bernoulli_distribution{probability}(random_); }

    void advance_time(milliseconds max) {
        now_ += milliseconds{
            std::uniform_int_distribution<int>{1, static_cast<int>(max.count())}(random_)};
    }

    static error lost_connection() {
        return make_error(error_kind::connection_lost, "connection lost");
    }

    void execute(unsigned attempt) {
        if (refused_.contains(attempt) || restarted_.contains(attempt)) {
            return;
        }
        ran_.insert(attempt);
        ++runs;
    }

    void exchange_work(at_most_once& machine, unsigned attempt) {
        advance_time(milliseconds{100});
        if (draw(0.1)) {
            machine.on_failure(make_error(error_kind::connect_failed, "connection refused"),
                               failure_origin::exchange, now_);
        } else if (draw(0.2)) {
            refused_.insert(attempt);
            machine.on_failure(make_error(error_kind::shutting_down, "shutting down"),
                               failure_origin::sidecar, now_);
        } else if (draw(0.3)) {
            delayed_.insert(attempt);
            fail_work(machine);
        } else {
            execute(attempt);
            if (draw(0.5)) {
                machine.on_result();
            } else {
                fail_work(machine);
            }
        }
        if (draw(0.1)) {
            restarted_.insert(attempt);
        }
    }

    void fail_work(at_most_once& machine) {
        auto failure = lost_connection();
        if (disabled_ == disabled_rule::unknown_after_lost_work) {
            failure.ran = work_ran::no;
        }
        machine.on_failure(failure, failure_origin::exchange, now_);
    }

    void exchange_query(at_most_once& machine, unsigned attempt) {
        advance_time(milliseconds{200});
        if (draw(0.2) && delayed_.erase(attempt) > 0) {
            execute(attempt);
        }
        if (draw(0.4)) {
            const auto origin = disabled_ == disabled_rule::unknown_after_lost_query
                                    ? failure_origin::sidecar
                                    : failure_origin::exchange;
            machine.on_failure(make_error(error_kind::connect_failed, "connection refused"), origin,
                               now_);
        } else if (restarted_.contains(attempt)) {
            machine.on_failure(
                make_error(error_kind::wrong_incarnation, work_ran::unknown, "another incarnation"),
                failure_origin::sidecar, now_);
        } else if (ran_.contains(attempt)) {
            machine.on_result();
        } else {
            refused_.insert(attempt);
            machine.on_failure(make_error(error_kind::not_run, "never received"),
                               failure_origin::sidecar, now_);
        }
    }

    void deliver_delayed() {
        for (const auto attempt : delayed_) {
            execute(attempt);
        }
    }

    random_source random_;
    disabled_rule disabled_;
    time_point now_{seconds{100}};
    std::set<unsigned> ran_;
    std::set<unsigned> refused_;
    std::set<unsigned> restarted_;
    std::set<unsigned> delayed_;
};

bool violates_guarantee(const simulation& ended) {
    const bool duplicated = ended.runs > 1;
    const bool ran_despite_refusal =
        ended.reported && ended.reported->ran == work_ran::no && ended.runs > 0;
    const bool missing = !ended.reported && ended.runs != 1;
    return duplicated || ran_despite_refusal || missing;
}

unsigned count_violations(disabled_rule disabled) {
    unsigned violations = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation simulated{seed, disabled};
        simulated.run();
        violations += violates_guarantee(simulated) ? 1 : 0;
    }
    return violations;
}

} // namespace

TEST_CASE("non-idempotent work never runs twice and work reported as not run never ran",
          "[property]") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        simulation simulated{seed, disabled_rule::none};
        simulated.run();
        REQUIRE_FALSE(violates_guarantee(simulated));
    }
}

TEST_CASE("treating lost work as not run makes it run twice", "[property]") {
    REQUIRE(count_violations(disabled_rule::unknown_after_lost_work) > 0);
}

TEST_CASE("treating an outcome query that failed in transit as an answer makes work run twice",
          "[property]") {
    REQUIRE(count_violations(disabled_rule::unknown_after_lost_query) > 0);
}

TEST_CASE("a deadline that passes before the outcome is known yields an unknown outcome") {
    const time_point start{seconds{100}};
    at_most_once machine{{3, start + seconds{1}}};
    REQUIRE(std::holds_alternative<send_work>(machine.next(start)));
    machine.on_failure(make_error(error_kind::deadline_exceeded, "no answer"),
                       failure_origin::exchange, start + milliseconds{500});
    REQUIRE(std::holds_alternative<query_outcome>(machine.next(start + milliseconds{500})));
    const auto end = std::get<report_failure>(machine.next(start + seconds{1}));
    REQUIRE(end.failure.kind == error_kind::outcome_unknown);
    REQUIRE(end.failure.ran == work_ran::unknown);
}

TEST_CASE("work recorded as refused may be sent elsewhere, up to the attempt limit") {
    const time_point now{seconds{100}};
    at_most_once machine{{2, now + seconds{1}}};
    REQUIRE(std::get<send_work>(machine.next(now)).attempt == 0);
    machine.on_failure(make_error(error_kind::shutting_down, "shutting down"),
                       failure_origin::sidecar, now);
    REQUIRE(std::get<send_work>(machine.next(now)).attempt == 1);
    machine.on_failure(make_error(error_kind::over_limit, "full"), failure_origin::sidecar, now);
    const auto end = std::get<report_failure>(machine.next(now));
    REQUIRE(end.failure.kind == error_kind::over_limit);
    REQUIRE(end.failure.ran == work_ran::no);
}

TEST_CASE("work that ran and failed is not sent again") {
    const time_point now{seconds{100}};
    at_most_once machine{{3, now + seconds{1}}};
    (void)machine.next(now);
    machine.on_failure(make_error(error_kind::stage_failed, "ran"), failure_origin::sidecar, now);
    const auto end = std::get<report_failure>(machine.next(now));
    REQUIRE(end.failure.ran == work_ran::yes);
}
