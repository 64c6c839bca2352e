/// \file
/// Concurrency ramp, admission queue and abandoned-work accounting on a virtual clock.
#include "admission/abandoned_work.hpp"
#include "admission/admission_queue.hpp"
#include "admission/concurrency_ramp.hpp"
#include "admission/lane_pace.hpp"
#include "admission/service_times.hpp"
#include "base/random.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace boragefront;
using namespace boragefront::admission;
using config::lane;

namespace {

constexpr time_point start{seconds{1'000}};

waiting_work work_of(const std::string& workspace, unsigned number, lane priority = lane::normal,
                     double share = 1.0) {
    waiting_work work;
    work.id = {workspace, number, 0};
    work.lane = priority;
    work.workspace = workspace;
    work.share = share;
    work.expires_at = start;
    return work;
}

// Keeps three workspaces with shares 1, 2 and 4 backlogged, one of them with far more requests than
// the others, and counts the items served for each.
std::map<std::string, int> served_by_workspace(std::uint64_t seed, queue_mechanisms mechanisms) {
    random_source random{seed};
    std::uniform_int_distribution<unsigned> pick{0, 9};
    admission_queue queue{60, mechanisms};
    std::map<std::string, int> served;
    unsigned number = 0;
    for (int round = 0; round < 700; ++round) {
        for (int i = 0; i < 8; ++i) {
            const auto chosen = pick(random);
            const std::string name = chosen < 8 ? "one" : (chosen == 8 ? "two" : "four");
            const double share = chosen < 8 ? 1.0 : (chosen == 8 ? 2.0 : 4.0);
            (void)queue.push(work_of(name, ++number, lane::normal, share));
        }
        if (round >= 100) {
            ++served[queue.pop()->workspace];
        }
    }
    return served;
}

bool is_ordered_by_share(std::map<std::string, int> served) {
    return served["four"] > served["two"] && served["two"] > served["one"] && served["one"] > 0;
}

} // namespace

TEST_CASE("the ramp starts at the cold limit, rises with completions and falls back immediately") {
    concurrency_ramp ramp{{8, 64}, {1, 2, 4.0}};
    REQUIRE(ramp.limit() == 1);
    for (int i = 0; i < 14; ++i) {
        REQUIRE(ramp.limit() == 1U + static_cast<unsigned>(i) / 2);
        ramp.on_completed(ramp.warm_up());
    }
    REQUIRE(ramp.is_full());
    const auto before = ramp.warm_up();
    ramp.fall_back(cold_cause::slow);
    REQUIRE(ramp.limit() == 1);
    for (int i = 0; i < 10; ++i) {
        ramp.on_completed(before);
    }
    REQUIRE(ramp.limit() == 1);
}

TEST_CASE("the limit does not rise while the endpoint reports itself cold") {
    concurrency_ramp ramp{{8, 64}, {2, 1, 4.0}};
    ramp.on_completed(ramp.warm_up());
    REQUIRE(ramp.set_reported_cold(true));
    REQUIRE_FALSE(ramp.set_reported_cold(true));
    ramp.on_completed(ramp.warm_up());
    REQUIRE(ramp.limit() == 2);
    ramp.set_reported_cold(false);
    ramp.on_completed(ramp.warm_up());
    REQUIRE(ramp.limit() == 3);
}

TEST_CASE("the limit never exceeds the full limit under any order of events") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        std::uniform_int_distribution<unsigned> pick{0, 9};
        concurrency_ramp ramp{{6, 10}, {2, 2, 4.0}};
        unsigned full = 6;
        for (int i = 0; i < 500; ++i) {
            const auto event = pick(random);
            if (event == 0) {
                ramp.fall_back(cold_cause::slow);
                REQUIRE(ramp.limit() <= 2);
            } else if (event == 1) {
                full = 1 + pick(random);
                ramp.set_policy({full, 10}, {2, 2, 4.0});
            } else {
                ramp.on_completed(ramp.warm_up());
            }
            REQUIRE(ramp.limit() <= full);
        }
    }
}

TEST_CASE("quantiles cover only the most recent service times") {
    service_times times;
    REQUIRE_FALSE(times.quantile(0.5));
    for (int i = 1; i <= 100; ++i) {
        times.record(milliseconds{i <= 36 ? 1'000 : i});
    }
    REQUIRE(times.quantile(0.0) == milliseconds{37});
    REQUIRE(times.quantile(1.0) == milliseconds{100});
    REQUIRE(times.median() == milliseconds{68});
}

TEST_CASE("lanes are served in strict priority order unless the mechanism is disabled") {
    const auto first_served = [](queue_mechanisms mechanisms) {
        admission_queue queue{10, mechanisms};
        (void)queue.push(work_of("a", 1, lane::background));
        (void)queue.push(work_of("a", 2, lane::normal));
        (void)queue.push(work_of("a", 3, lane::urgent));
        return queue.pop()->id.stage;
    };
    REQUIRE(first_served({}) == 3);
    REQUIRE(first_served({.strict_priority = false}) == 1);
}

TEST_CASE("workspaces are served by share unless fair queueing is disabled") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto served = served_by_workspace(seed, {});
        CAPTURE(seed, served.at("one"), served.at("two"), served.at("four"));
        REQUIRE(is_ordered_by_share(served));
        REQUIRE_FALSE(is_ordered_by_share(served_by_workspace(seed, {.fair = false})));
    }
}

TEST_CASE("a full queue displaces the lowest priority and never urgent work for other work") {
    admission_queue queue{2};
    (void)queue.push(work_of("a", 1, lane::background));
    (void)queue.push(work_of("a", 2, lane::normal));
    auto pushed = queue.push(work_of("a", 3, lane::urgent));
    REQUIRE(std::get<queued>(pushed).displaced->id.stage == 1);
    pushed = queue.push(work_of("b", 4, lane::urgent));
    REQUIRE(std::get<queued>(pushed).displaced->id.stage == 2);
    REQUIRE(std::holds_alternative<queue_full>(queue.push(work_of("c", 5, lane::normal))));
    REQUIRE(std::holds_alternative<queue_full>(queue.push(work_of("a", 6, lane::urgent))));
    REQUIRE(queue.size(lane::urgent) == 2);
}

TEST_CASE("in a full lane the most backlogged workspace is displaced by another") {
    admission_queue queue{4};
    for (unsigned i = 1; i <= 4; ++i) {
        (void)queue.push(work_of("large", i));
    }
    const auto pushed = queue.push(work_of("small", 5));
    REQUIRE(std::get<queued>(pushed).displaced->id.stage == 4);
    REQUIRE(queue.size() == 4);
}

TEST_CASE("abandoned work holds its slot until enough current reports show the slot free") {
    abandoned_work abandoned;
    abandoned.assume_predecessor(4, start);
    // Reports within the report lag may not yet include the predecessor's last work.
    for (int i = 0; i < 10; ++i) {
        abandoned.on_report(0, start + milliseconds{i * 50});
    }
    REQUIRE(abandoned.held(start + milliseconds{500}) == 4);
    const auto later = start + milliseconds{1'200};
    abandoned.on_report(1, later);
    abandoned.on_report(0, later);
    REQUIRE(abandoned.held(later) == 4);
    abandoned.on_report(0, later);
    REQUIRE(abandoned.held(later) == 1);
    for (int i = 0; i < 3; ++i) {
        abandoned.on_report(0, later);
    }
    REQUIRE(abandoned.held(later) == 0);
}

TEST_CASE("own calls in progress are not counted as abandoned work") {
    abandoned_work abandoned;
    abandoned.set_own_running(3, start);
    abandoned.add(start);
    const auto later = start + milliseconds{1'500};
    for (int i = 0; i < 3; ++i) {
        abandoned.on_report(3, later);
    }
    REQUIRE(abandoned.held(later) == 0);
}

TEST_CASE("a cancelled call holds its slot until the endpoint has detected the cancellation") {
    abandoned_work abandoned;
    abandoned.add_cancelled(start);
    REQUIRE(abandoned.held(start + milliseconds{49}) == 1);
    REQUIRE(abandoned.held(start + milliseconds{50}) == 0);
}

TEST_CASE("the dispatch interval of a lane is a mean, and zero until enough dispatches are seen") {
    lane_pace pace;
    time_point now{seconds{100}};
    pace.on_first_queued(now);
    now += seconds{2};
    pace.on_dispatch(now); // the first dispatch had to wait for a slot
    REQUIRE(pace.mean_interval() == duration{0});
    for (int i = 0; i < 200; ++i) {
        now += milliseconds{100};
        pace.on_dispatch(now);
    }
    REQUIRE(pace.mean_interval() > milliseconds{95});
    REQUIRE(pace.mean_interval() < milliseconds{105});
}
