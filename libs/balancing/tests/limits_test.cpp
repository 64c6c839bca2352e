#include "balancing/cold_limiter.hpp"
#include "balancing/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};

entry_group group_of(std::size_t entries, std::size_t self) {
    entry_group group;
    for (std::size_t i = 0; i < entries; ++i) {
        group.members.push_back("entry-" + std::to_string(i));
    }
    group.self = group.members[self];
    return group;
}

// Maximum number of requests in any window of one second.
std::size_t max_per_second(std::vector<time_point> sent) {
    std::sort(sent.begin(), sent.end());
    std::size_t max_count = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < sent.size(); ++last) {
        while (sent[last] - sent[first] >= seconds{1}) {
            ++first;
        }
        max_count = std::max(max_count, last - first + 1);
    }
    return max_count;
}

} // namespace

// Guards against overload of an endpoint that has just started and receives work from all entries.
TEST_CASE("all entries together respect the limit of a cold endpoint", "[invariant]") {
    const auto entries =
        GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{4}, std::size_t{12}, std::size_t{40});
    const auto rate = GENERATE(2.0, 9.8, 18.0, 60.0);
    const cold_limit limit{rate, 1.5, 5};
    std::vector<cold_limiter> limiters(entries);
    std::vector<time_point> sent;
    for (auto now = start; now < start + seconds{4}; now += milliseconds{5}) {
        for (std::size_t i = 0; i < entries; ++i) {
            const auto group = group_of(entries, i);
            while (limiters[i].may_send(limit, group, "endpoint", now)) {
                limiters[i].record_send(limit, group, now);
                sent.push_back(now);
            }
        }
    }
    INFO("entries " << entries << ", rate " << rate);
    CHECK(static_cast<double>(max_per_second(sent)) <= rate * 1.5 + 5);
    CHECK_FALSE(sent.empty());
}

TEST_CASE("an endpoint without a limit gets any number of requests") {
    cold_limiter limiter;
    const auto group = group_of(3, 0);
    for (int i = 0; i < 100; ++i) {
        CHECK(limiter.may_send({0, 1.5, 5}, group, "endpoint", start));
        limiter.record_send({0, 1.5, 5}, group, start);
    }
}

// An entry used its whole share of the slack after each of several restarts within one window.
TEST_CASE("retries of an entry that restarts in series respect the budget", "[invariant]") {
    const retry_limit limit{0.2, 52, milliseconds{10'000}};
    constexpr std::size_t entries = 3;
    const auto uptime = GENERATE(milliseconds{1'000}, milliseconds{2'500}, milliseconds{5'000});
    INFO("restarts every " << uptime.count() << " ms");
    std::vector<time_point> retries;
    retry_budget budget;
    for (auto now = start; now < start + seconds{60}; now += milliseconds{20}) {
        if ((now - start) % uptime == duration{0}) {
            budget = retry_budget::make(now);
        }
        if (budget.try_consume(limit, entries, now)) {
            retries.push_back(now);
        }
    }
    for (const auto from : retries) {
        const auto in_window = std::count_if(retries.begin(), retries.end(), [&](time_point one) {
            return one >= from && one < from + limit.window;
        });
        CHECK(static_cast<double>(in_window) <= limit.slack / entries);
    }
    CHECK_FALSE(retries.empty());
}

TEST_CASE("an entry that has just started may retry a little, and its whole share after a window") {
    const retry_limit limit{0, 52, milliseconds{10'000}};
    auto budget = retry_budget::make(start);
    CHECK(budget.try_consume(limit, 1, start));
    int at_once = 1;
    while (budget.try_consume(limit, 1, start)) {
        ++at_once;
    }
    CHECK(at_once <= limit.slack / 10);
    int after_a_window = 0;
    while (budget.try_consume(limit, 1, start + 2 * limit.window)) {
        ++after_a_window;
    }
    CHECK(after_a_window == 39); // three quarters
}

// Guards against retry storms when all entries see the same failures at once.
TEST_CASE("retries of all entries respect the budget in any window", "[invariant]") {
    const auto entries = GENERATE(std::size_t{1}, std::size_t{3}, std::size_t{12});
    const retry_limit limit{0.2, 52, milliseconds{10'000}};
    std::vector<retry_budget> budgets(entries);
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    for (auto now = start; now < start + seconds{40}; now += milliseconds{20}) {
        auto& budget = budgets[static_cast<std::size_t>(now.time_since_epoch().count()) % entries];
        budget.record_request(now);
        requests.push_back(now);
        for (auto& one : budgets) {
            for (int i = 0; i < 3; ++i) {
                if (one.try_consume(limit, entries, now)) {
                    retries.push_back(now);
                }
            }
        }
    }
    const auto within = [](const std::vector<time_point>& all, time_point from, time_point to) {
        return static_cast<double>(std::count_if(
            all.begin(), all.end(), [&](time_point one) { return one >= from && one < to; }));
    };
    for (auto from = start; from < start + seconds{30}; from += milliseconds{250}) {
        const auto to = from + limit.window;
        const double max_requests =
            std::max({within(requests, from, to), within(requests, from - limit.window, from),
                      within(requests, from - limit.window / 2, to - limit.window / 2)});
        CHECK(within(retries, from, to) <= limit.ratio * max_requests + limit.slack);
    }
    CHECK_FALSE(retries.empty());
}
