/// \file
/// Properties of work that is not idempotent, against simulated sidecars that lose messages,
/// delay them and restart.
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

// Which mechanism a simulation leaves out.
enum class left_out : std::uint8_t { nothing, doubt_of_lost_work, doubt_of_lost_questions };

// Sidecars with ledgers behind an unreliable network. The sidecar of an attempt is its own.
class simulation {
public:
    simulation(std::uint64_t seed, left_out without) : random_{seed}, without_{without} {}

    void run() {
        at_most_once machine{{3, now_ + seconds{2}}};
        for (;;) {
            const auto step = machine.next(now_);
            if (const auto* send = std::get_if<send_work>(&step)) {
                exchange_work(machine, send->attempt);
            } else if (const auto* ask = std::get_if<ask_outcome>(&step)) {
                now_ = std::max(now_, ask->at);
                exchange_question(machine, ask->attempt);
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
    std::optional<error> reported; ///< nothing: a result

private:
    bool draw(double probability) { return std::bernoulli_distribution{probability}(random_); }

    void pass(milliseconds most) {
        now_ += milliseconds{
            std::uniform_int_distribution<int>{1, static_cast<int>(most.count())}(random_)};
    }

    static error lost() { return make_error(error_kind::connection_lost, "lost"); }

    void arrive(unsigned attempt) {
        if (refused_.contains(attempt) || restarted_.contains(attempt)) {
            return;
        }
        ran_.insert(attempt);
        ++runs;
    }

    void exchange_work(at_most_once& machine, unsigned attempt) {
        pass(milliseconds{100});
        if (draw(0.1)) {
            machine.on_failure(make_error(error_kind::connect_failed, "nobody there"),
                               failure_origin::exchange, now_);
        } else if (draw(0.2)) {
            refused_.insert(attempt);
            machine.on_failure(make_error(error_kind::shutting_down, "leaving"),
                               failure_origin::sidecar, now_);
        } else if (draw(0.3)) {
            delayed_.insert(attempt);
            lose(machine);
        } else {
            arrive(attempt);
            if (draw(0.5)) {
                machine.on_result();
            } else {
                lose(machine);
            }
        }
        if (draw(0.1)) {
            restarted_.insert(attempt);
        }
    }

    void lose(at_most_once& machine) {
        auto failure = lost();
        if (without_ == left_out::doubt_of_lost_work) {
            failure.ran = work_ran::no;
        }
        machine.on_failure(failure, failure_origin::exchange, now_);
    }

    void exchange_question(at_most_once& machine, unsigned attempt) {
        pass(milliseconds{200});
        if (draw(0.2) && delayed_.erase(attempt) > 0) {
            arrive(attempt);
        }
        if (draw(0.4)) {
            const auto origin = without_ == left_out::doubt_of_lost_questions
                                    ? failure_origin::sidecar
                                    : failure_origin::exchange;
            machine.on_failure(make_error(error_kind::connect_failed, "nobody there"), origin,
                               now_);
        } else if (restarted_.contains(attempt)) {
            machine.on_failure(
                make_error(error_kind::wrong_incarnation, work_ran::unknown, "another life"),
                failure_origin::sidecar, now_);
        } else if (ran_.contains(attempt)) {
            machine.on_result();
        } else {
            refused_.insert(attempt);
            machine.on_failure(make_error(error_kind::not_run, "never arrived"),
                               failure_origin::sidecar, now_);
        }
    }

    void deliver_delayed() {
        for (const auto attempt : delayed_) {
            arrive(attempt);
        }
    }

    random_source random_;
    left_out without_;
    time_point now_{seconds{100}};
    std::set<unsigned> ran_;
    std::set<unsigned> refused_;
    std::set<unsigned> restarted_;
    std::set<unsigned> delayed_;
};

bool is_broken(const simulation& ended) {
    const bool doubled = ended.runs > 1;
    const bool false_not_run =
        ended.reported && ended.reported->ran == work_ran::no && ended.runs > 0;
    const bool lost = !ended.reported && ended.runs != 1;
    return doubled || false_not_run || lost;
}

unsigned broken_runs(left_out without) {
    unsigned broken = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        simulation one{seed, without};
        one.run();
        broken += is_broken(one) ? 1 : 0;
    }
    return broken;
}

} // namespace

TEST_CASE("work that is not idempotent never runs twice and no refusal is false", "[property]") {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        simulation one{seed, left_out::nothing};
        one.run();
        REQUIRE_FALSE(is_broken(one));
    }
}

TEST_CASE("taking lost work for not run is seen to double it", "[property]") {
    REQUIRE(broken_runs(left_out::doubt_of_lost_work) > 0);
}

TEST_CASE("taking a question that failed on its way for an answer is seen to double work",
          "[property]") {
    REQUIRE(broken_runs(left_out::doubt_of_lost_questions) > 0);
}

TEST_CASE("a deadline that passes before the outcome is known is an unknown outcome") {
    const time_point start{seconds{100}};
    at_most_once machine{{3, start + seconds{1}}};
    REQUIRE(std::holds_alternative<send_work>(machine.next(start)));
    machine.on_failure(make_error(error_kind::deadline_exceeded, "silent"),
                       failure_origin::exchange, start + milliseconds{500});
    REQUIRE(std::holds_alternative<ask_outcome>(machine.next(start + milliseconds{500})));
    const auto end = std::get<report_failure>(machine.next(start + seconds{1}));
    REQUIRE(end.failure.kind == error_kind::outcome_unknown);
    REQUIRE(end.failure.ran == work_ran::unknown);
}

TEST_CASE("work that was recorded as refused may go elsewhere, within the attempts") {
    const time_point now{seconds{100}};
    at_most_once machine{{2, now + seconds{1}}};
    REQUIRE(std::get<send_work>(machine.next(now)).attempt == 0);
    machine.on_failure(make_error(error_kind::shutting_down, "leaving"), failure_origin::sidecar,
                       now);
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
