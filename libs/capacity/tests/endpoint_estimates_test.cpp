#include "base/hash.hpp"
#include "capacity/endpoint_estimates.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace boragefront;
using namespace boragefront::capacity;

namespace {

const time_point start{seconds{1'000}};

// Six endpoints that each end a request every 50 ms; "odd" is the one whose behaviour a test sets.
struct estimates_fixture {
    void run(milliseconds for_time, const std::function<double(milliseconds)>& real_slowness,
             const std::function<unsigned(milliseconds)>& reported_percent) {
        const auto end = now + for_time;
        for (; now < end; now += milliseconds{50}) {
            const auto at = std::chrono::floor<milliseconds>(now - start);
            for (const auto* const id : {"a", "b", "c", "d", "e"}) {
                answer(id, 1, 100);
            }
            answer("odd", real_slowness(at), reported_percent(at));
        }
    }
    void answer(const std::string& id, double slowness, unsigned percent) {
        estimates.on_load(id, 1, {2, 0, 6, percent}, now);
        estimates.on_latency(id, 1, microseconds{static_cast<int>(60'000 * slowness)}, 2, now);
    }
    double speed() const { return estimates.estimate("odd", now).speed; }
    double speed_now() const { return estimates.estimate("odd", now).speed_now; }

    time_point now{start};
    endpoint_estimates estimates;
};

const auto as_usual = [](milliseconds) { return 1.0; };
const auto reports_usual = [](milliseconds) { return 100U; };

} // namespace

TEST_CASE_METHOD(estimates_fixture, "equal endpoints have speed 1 and no limit") {
    run(seconds{5}, as_usual, reports_usual);
    CHECK(speed() == Approx(1));
    CHECK(speed_now() == Approx(1));
    CHECK(estimates.estimate("odd", now).concurrency == 0);
}

// Guards against waiting for many latencies before load moves away.
TEST_CASE_METHOD(estimates_fixture, "a lasting change is followed within 2 s, reported or not") {
    run(seconds{5}, as_usual, reports_usual);
    const bool reported = GENERATE(true, false);
    run(
        seconds{2}, [](milliseconds) { return 1.3; },
        [&](milliseconds) { return reported ? 130U : 100U; });
    CHECK(speed() == Approx(1 / 1.3).margin(0.05));
    run(seconds{2}, as_usual, reports_usual);
    CHECK(speed() == Approx(1).margin(0.05));
}

// Guards against learning a short slow period as the usual speed.
TEST_CASE_METHOD(estimates_fixture, "slow periods of 0.6 s count only for the current speed") {
    const auto is_slow = [](milliseconds at) { return at.count() % 4'000 >= 3'400; };
    run(
        milliseconds{19'900}, [&](milliseconds at) { return is_slow(at) ? 2.5 : 1.0; },
        [&](milliseconds at) { return is_slow(at) ? 250U : 100U; });
    CHECK(speed_now() == Approx(0.4).margin(0.04));
    CHECK(speed() == Approx(1).margin(0.1));
    now += milliseconds{401};
    CHECK(speed_now() == Approx(1).margin(0.1));
    estimates.on_load("rarely asked", 1, {2, 0, 6, 250}, now);
    CHECK(estimates.estimate("rarely asked", now).speed == Approx(1).margin(0.1));
}

// Guards against trusting an endpoint that reports 100 while it is slow, or 250 while it is not.
TEST_CASE_METHOD(estimates_fixture, "latencies override an incorrect report") {
    run(
        seconds{3}, [](milliseconds) { return 2.0; }, reports_usual);
    CHECK(speed_now() == Approx(0.5).margin(0.05));
    run(seconds{3}, as_usual, [](milliseconds) { return 250U; });
    CHECK(speed_now() == Approx(1).margin(0.1));
}

// Guards against avoiding a recovered endpoint that gets no requests, and against a predecessor's
// reputation.
TEST_CASE_METHOD(estimates_fixture,
                 "a silent endpoint returns to speed 1, a new incarnation at once") {
    run(
        seconds{3}, [](milliseconds) { return 2.0; }, [](milliseconds) { return 200U; });
    const double before = 1 / speed() - 1;
    CHECK(1 / estimates.estimate("odd", now + seconds{7}).speed - 1 < before * 0.4);
    estimates.on_load("odd", 2, {0, 0, 6, 100}, now);
    CHECK(speed() == Approx(1).margin(0.05));
}

TEST_CASE_METHOD(estimates_fixture, "a refusal limits an endpoint for a second") {
    run(seconds{1}, as_usual, reports_usual);
    estimates.on_refused("odd", 1, now);
    CHECK(estimates.estimate("odd", now).concurrency == 2);
    CHECK(estimates.estimate("odd", now + milliseconds{1'001}).concurrency == 0);
}

// Guards against reports of others that override what the entry itself has just seen, and against
// reports about a former incarnation.
TEST_CASE_METHOD(estimates_fixture, "the youngest report counts unless own evidence is recent") {
    run(seconds{2}, as_usual, reports_usual);
    estimates.retain({{"odd", 1}});
    const auto odd = stable_hash("odd");
    estimates.merge({{odd, 1, 50, 3, milliseconds{100}}}, now);
    CHECK(speed() == Approx(1));
    now += milliseconds{6'100};
    CHECK(speed() == Approx(1).margin(0.02));
    estimates.merge({{odd, 1, 50, 3, milliseconds{100}}}, now);
    estimates.merge({{odd, 1, 90, 0, milliseconds{500}}}, now);
    estimates.merge({{odd, 2, 10, 0, milliseconds{0}}, {77, 1, 10, 0, milliseconds{0}}}, now);
    CHECK(speed() == Approx(0.5));
    CHECK(estimates.estimate("odd", now).concurrency == 3);
    CHECK(estimates.estimate("odd", now).age == milliseconds{100});
    CHECK(estimates.report(now).empty());
}

// Guards against keeping estimates of endpoints that are gone, and against avoiding a restarted
// endpoint, which nobody has asked since, for the slowness of its predecessor.
TEST_CASE_METHOD(estimates_fixture, "only the listed incarnations are retained") {
    run(
        seconds{3}, [](milliseconds) { return 2.0; }, [](milliseconds) { return 200U; });
    CHECK(speed() == Approx(0.5).margin(0.05));
    estimates.retain({{"a", 1}, {"odd", 2}});
    CHECK(speed() == 1);
    CHECK_FALSE(estimates.estimate("odd", now).age);
    CHECK(estimates.report(now).size() == 1);
}

// Guards against estimates in use after all endpoints were replaced by ones that report no
// slowness.
TEST_CASE_METHOD(estimates_fixture, "estimates are used while an endpoint reports its slowness") {
    CHECK_FALSE(estimates.slowness_reported());
    run(seconds{1}, as_usual, reports_usual);
    estimates.retain({{"a", 1}, {"odd", 1}});
    CHECK(estimates.slowness_reported());
    estimates.on_load("a", 2, {1, 0, 6, std::nullopt}, now);
    estimates.retain({{"a", 2}, {"odd", 2}});
    CHECK_FALSE(estimates.slowness_reported());
}

// Guards against endpoints without a recent report that are avoided as one report was malformed.
TEST_CASE_METHOD(estimates_fixture, "an absurd load of one endpoint is not assumed at others") {
    run(seconds{2}, as_usual, reports_usual);
    const auto before = estimates.estimate("unknown", now).expected_load;
    estimates.on_load("odd", 1, {4'000'000'000U, 400'000'000U, 6, 1'000'000'000U}, now);
    CHECK(estimates.estimate("odd", now).expected_load > 4e9);
    CHECK(estimates.estimate("odd", now).speed_now >= 0.04);
    CHECK(estimates.estimate("unknown", now).expected_load < before + 1);
}

// Guards against a service that is slow as a whole: its endpoints that nobody asks must not count
// as twice as fast as the others, nor all as fast after a pause.
TEST_CASE_METHOD(estimates_fixture, "a silent endpoint returns to the median of its peers") {
    for (; now < start + seconds{2}; now += milliseconds{50}) {
        for (const auto* const id : {"a", "b", "c", "d", "e", "odd"}) {
            answer(id, 2, 200);
        }
    }
    CHECK(speed() == Approx(1).margin(0.1));
    for (int i = 0; i < 300; ++i, now += milliseconds{100}) {
        for (const auto* const id : {"a", "b", "c", "d", "e"}) {
            answer(id, 2, 200);
        }
    }
    CHECK(speed() == Approx(1).margin(0.1));
    CHECK(estimates.estimate("a", now + seconds{60}).speed == Approx(1).margin(0.1));
    estimates.on_load("new", 1, {1, 0, 6, std::nullopt}, now);
    CHECK(estimates.estimate("new", now).speed == Approx(1).margin(0.1));
}
