#include "gateway/drain_plan.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <optional>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

const time_point start{seconds{1'000}};

// One request, and whether another entry serves.
struct arrival {
    milliseconds limit{0};
    std::optional<milliseconds> longest_recent{};
    bool may_repeat{true};
    bool other_entry_serves{false};
    time_point at{};
};

bool accepts(const drain_plan& plan, const arrival& one) {
    return plan.accepts({one.limit, one.longest_recent}, one.may_repeat, one.other_entry_serves,
                        one.at);
}

// Calls an action with arrivals of all kinds throughout a shutdown.
template <class Action>
void for_each_arrival(Action action) {
    const std::array<std::optional<milliseconds>, 5> recent{
        std::nullopt, milliseconds{0}, milliseconds{400}, seconds{2}, seconds{5}};
    for (milliseconds elapsed{0}; elapsed < seconds{9}; elapsed += milliseconds{50}) {
        for (milliseconds limit{50}; limit < seconds{40}; limit *= 2) {
            for (const auto& longest_recent : recent) {
                for (const bool may_repeat : {false, true}) {
                    for (const bool other_entry_serves : {false, true}) {
                        action(arrival{limit, longest_recent, may_repeat, other_entry_serves,
                                       start + elapsed});
                    }
                }
            }
        }
    }
}

} // namespace

// Guards against refusing requests needlessly in a rolling restart: while no entry of the fleet is
// ready, the load balancer sends to all of them.
TEST_CASE("a draining entry accepts requests that it can answer before it exits") {
    const auto plan = drain_plan::make(start, seconds{8});
    constexpr milliseconds chat_duration{15'000};
    const bool may_repeat = GENERATE(false, true);
    const auto accepts_alone = [&](milliseconds limit, milliseconds elapsed) {
        return accepts(plan, {limit, std::nullopt, may_repeat, false, start + elapsed});
    };
    CHECK(accepts_alone(chat_duration, seconds{2}));
    CHECK_FALSE(accepts_alone(chat_duration, seconds{3}));
    CHECK(accepts_alone(milliseconds{600}, seconds{6}));
    CHECK_FALSE(accepts_alone(milliseconds{600}, seconds{7}));
}

TEST_CASE("the drain ends within the grace period, however short", "[invariant]") {
    for (const auto grace : {seconds{1}, seconds{3}, seconds{8}, seconds{30}}) {
        const auto plan = drain_plan::make(start, grace);
        CHECK(plan.exit_at() <= start + grace);
        CHECK(plan.withdrawn_at() <= plan.exit_at());
        CHECK(plan.answered_by() > plan.exit_at());
        CHECK(plan.answered_by() < start + grace);
    }
}

TEST_CASE("refused callers retry when the successor is serving, or soon at another entry") {
    const auto plan = drain_plan::make(start, seconds{8});
    CHECK(plan.retry_after(false, start + seconds{3}) > seconds{4});
    CHECK(plan.retry_after(false, start + seconds{3}) < seconds{6});
    // The load balancer checks readiness once a second.
    CHECK(plan.retry_after(true, start + seconds{3}) <= seconds{1});
}

TEST_CASE("after the initial period no request is accepted that may outlast the exit",
          "[invariant]") {
    const auto plan = drain_plan::make(start, seconds{8});
    for_each_arrival([&](const arrival& one) {
        if (one.at >= start + seconds{3} && accepts(plan, one)) {
            CHECK(one.at + one.limit < plan.exit_at());
        }
    });
}

// Guards against orders that are accepted during a shutdown and cut at its end, although they could
// have run whole at another entry.
TEST_CASE("while another entry serves, what may not be repeated is accepted only if it will end",
          "[invariant]") {
    const auto plan = drain_plan::make(start, seconds{8});
    for_each_arrival([&](const arrival& one) {
        if (!one.may_repeat && one.other_entry_serves && accepts(plan, one)) {
            const bool ends = one.at + one.limit < plan.exit_at();
            const bool usually_ends =
                one.longest_recent && one.at + *one.longest_recent * 2 < plan.exit_at();
            CHECK((ends || usually_ends));
        }
    });
}

TEST_CASE("a draining entry refuses no request that ends before its exit") {
    const auto plan = drain_plan::make(start, seconds{8});
    for_each_arrival([&](const arrival& one) {
        if (one.at + one.limit < plan.exit_at()) {
            CHECK(accepts(plan, one));
        }
    });
}

// A refusal of what would have ended in time costs its caller a retry.
TEST_CASE("initially a draining entry accepts what may be repeated or is usually short") {
    const auto plan = drain_plan::make(start, seconds{8});
    for_each_arrival([&](const arrival& one) {
        const bool is_short = one.longest_recent && *one.longest_recent <= seconds{2};
        if (one.at < start + milliseconds{2'900} && (one.may_repeat || is_short)) {
            CHECK(accepts(plan, one));
        }
    });
}

// Guards against work that waited, for a stage or an endpoint, and starts just before the exit.
TEST_CASE("what waited is sent only if it can be answered before the exit", "[invariant]") {
    const auto plan = drain_plan::make(start, seconds{8});
    const auto late = plan.exit_at() - milliseconds{300};
    CHECK(plan.may_send(seconds{10}, milliseconds{200}, late));
    CHECK(plan.may_send(milliseconds{200}, seconds{2}, late));
    CHECK(plan.may_send(seconds{10}, std::nullopt, late));
    CHECK_FALSE(plan.may_send(seconds{10}, milliseconds{400}, late));
    CHECK_FALSE(plan.may_send(milliseconds{1}, std::nullopt, plan.exit_at()));
}
