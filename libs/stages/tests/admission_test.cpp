// Decisions on groups that miss their soft deadline, and how soon their callers are told to retry.
#include "queue_fixture.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

// One endpoint, occupied by a call, and groups of a full call each that are late by now.
struct late_groups : queue_fixture {
    late_groups() {
        add_endpoint("one");
        running = occupy_endpoint();
    }

    void offer_late(std::uint64_t id, unsigned pieces, milliseconds time_left) {
        auto group = make_group(id, pieces);
        group.soft_deadline = now + milliseconds{300};
        group.hard_deadline = now + time_left;
        const auto admitted = queue.offer(std::move(group), now);
        REQUIRE(admitted.accepted);
    }

    stage_call running;
};

} // namespace

// Late groups were kept behind all new arrivals until their callers gave up.
TEST_CASE_METHOD(late_groups, "a late group is started before on-time work to meet its deadline") {
    offer_late(1, 8, milliseconds{2'000});
    now += milliseconds{100};
    CHECK(queue.take_finished(now).empty()); // the queue commits to it
    unsigned calls_before = 0;
    for (std::uint64_t id = 10;; ++id) {
        offer(id, 8); // on time
        complete(running);
        auto calls = queue.next_calls(now);
        REQUIRE(calls.size() == 1);
        running = calls[0];
        if (running.pieces.front().request_id == "1") {
            break;
        }
        ++calls_before;
        REQUIRE(queue.take_finished(now).size() == 1);
    }
    CHECK(calls_before >= 2); // it yields while it can
    CHECK(running.time_left.front() >= running.expected);
}

// Committed groups that the remaining endpoints cannot serve waited until their deadline.
TEST_CASE_METHOD(late_groups, "a commitment is only given up when endpoints are lost") {
    add_endpoint("two");
    offer_late(1, 8, milliseconds{600});
    offer_late(2, 8, milliseconds{700});
    offer_late(3, 8, milliseconds{800});
    auto second_call = queue.next_calls(now); // of the first group, at the other endpoint
    REQUIRE(second_call.size() == 1);
    now += milliseconds{100};
    CHECK(queue.take_finished(now).empty());
    now += milliseconds{250};
    CHECK(queue.take_finished(now).empty());
    queue.set_contended({"two"}); // as in a hand-over, where both dispatchers have work
    now += milliseconds{50};
    CHECK(queue.take_finished(now).empty());
    endpoints.pop_back();
    refresh();
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == 3);
    CHECK(ended[0].reason == refusal_reason::endpoints_lost);
}

// Up to 2,307 pieces waited while refusals carried a retry time of 30 ms.
TEST_CASE("callers that are refused together are told to retry at different times") {
    const milliseconds call{278};
    std::set<milliseconds> times;
    for (int i = 0; i < 100; ++i) {
        const auto after = spread_retry_after(milliseconds{1'500}, call, "r" + std::to_string(i));
        CHECK(after >= milliseconds{1'500});
        CHECK(after <= seconds{3});
        times.insert(after);
    }
    CHECK(times.size() > 80);
    CHECK(spread_retry_after(milliseconds{30}, call, "r") >= call);
    CHECK(spread_retry_after(milliseconds{0}, milliseconds{0}, "r") > milliseconds{0});
    CHECK(spread_retry_after(seconds{60}, call, "r") <= seconds{5});
    CHECK(spread_retry_after(seconds{60}, call, "r") >= milliseconds{2'500});
}

// 44 pieces per second at a service that carries 57 exceed it by chance, 87 do not.
TEST_CASE("an overload is told from a burst and from random arrivals") {
    const time_point start{seconds{1'000}};
    const auto overloaded = [&](std::size_t first_second, std::size_t each_second) {
        arrival_estimator arrivals;
        for (std::size_t i = 0; i < 100; ++i) {
            const auto rate = i < 20 ? first_second : each_second;
            arrivals.record(rate / 20, 0, start + milliseconds{50} * i);
        }
        const auto now = start + seconds{5};
        const service_load load{57, 100, arrivals.arrived(service_load::lasting_period, now),
                                arrivals.arrived(service_load::recent_period, now)};
        return load.is_overloaded();
    };
    CHECK_FALSE(overloaded(60, 60));
    CHECK_FALSE(overloaded(200, 40));
    CHECK(overloaded(100, 80));
}

TEST_CASE("the arrivals of the last seconds are counted by priority") {
    const time_point start{seconds{1'000}};
    arrival_estimator arrivals;
    arrivals.record(10, 0, start);
    arrivals.record(20, 1, start + seconds{4});
    CHECK(arrivals.arrived(seconds{5}, start + seconds{4}).pieces == 30);
    CHECK(arrivals.arrived(seconds{1}, start + seconds{4}).pieces == 20);
    CHECK(arrivals.arrived(seconds{5}, start + seconds{8}).pieces == 20);
    CHECK(arrivals.rate_before(1, start + seconds{1}) == 5); // over 2 s, as there is no more
    CHECK(arrivals.rate_before(0, start + seconds{1}) == 0);
}

// Endpoints without memory for results process less than their speed allows, and requests were
// accepted that could not be served.
TEST_CASE("the throughput is measured while work waits") {
    const time_point start{seconds{1'000}};
    const milliseconds call{278};
    throughput_estimator throughput;
    throughput.record_backlog(true, start);
    for (int i = 0; i < 40; ++i) {
        throughput.record_completed(2, start + milliseconds{100} * i);
    }
    const auto now = start + seconds{4};
    CHECK_FALSE(throughput.pieces_per_second(call, start + seconds{1}));
    CHECK(throughput.pieces_per_second(call, now).value_or(0) == Approx{20}.margin(1));
    throughput.record_backlog(false, now);
    CHECK_FALSE(throughput.pieces_per_second(call, now));
}

// A planning pass sorted all of 900 groups to start a few.
TEST_CASE("ordering costs little for what is not read") {
    int comparisons = 0;
    struct counted {
        int value;
        int* comparisons;
        bool operator<(const counted& other) const {
            ++*comparisons;
            return value < other.value;
        }
    };
    std::vector<std::pair<counted, int>> items;
    items.reserve(1'000);
    for (int i = 0; i < 1'000; ++i) {
        items.push_back({{i * 617 % 1'000 + 1, &comparisons}, i * 617 % 1'000 + 1});
    }
    lazily_sorted<counted, int> order{std::move(items)};
    for (int i = 0; i < 20; ++i) {
        CHECK(order.at(static_cast<std::size_t>(i)) == i + 1);
    }
    CHECK(comparisons < 3'000); // sorting all takes about 10,000
    CHECK(order.at(999) == 1'000);
    CHECK(order.at(1'000) == 0);
}

// Guards against commitments that more urgent work leaves no capacity for, and that are dropped at
// their deadline.
TEST_CASE_METHOD(late_groups, "a late group without time beside more urgent work is refused") {
    for (int i = 0; i < 25; ++i) { // 8 pieces every 200 ms; a call takes 278 ms
        auto group = make_group(100 + static_cast<std::uint64_t>(i), 8);
        group.soft_deadline = now + seconds{20};
        const auto admitted = queue.offer(std::move(group), now);
        REQUIRE(admitted.accepted);
        now += milliseconds{200};
    }
    auto group = make_group(1, 8);
    group.priority = 1;
    group.soft_deadline = now + milliseconds{300};
    const auto admitted = queue.offer(std::move(group), now);
    REQUIRE(admitted.accepted);
    now += milliseconds{100};
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == 1);
    CHECK(ended[0].reason == refusal_reason::no_time);
    CHECK(ended[0].retry_after >= queue.service_time(8));
    CHECK(ended[0].retry_after <= seconds{5});
}

// Guards against refusals after an evacuation or a hand-over, when the throughput of the smaller
// number of endpoints was taken for that of all.
TEST_CASE_METHOD(queue_fixture, "endpoints that return count at once") {
    add_endpoint("one");
    add_endpoint("two", "b");
    bool contends = false;
    SECTION("evacuation") {
        evacuated = {"b"};
    }
    SECTION("hand-over") {
        contends = true;
    }
    refresh();
    queue.set_contended(contends ? std::set<std::string, std::less<>>{"two"}
                                 : std::set<std::string, std::less<>>{});
    for (std::uint64_t id = 1; id <= 60; ++id) {
        offer(id, 8, 0, seconds{19});
    }
    auto calls = queue.next_calls(now);
    while (now < time_point{seconds{1'005}}) {
        REQUIRE_FALSE(calls.empty());
        complete(calls.front()); // with "two" contended, its call does not end
        calls = queue.next_calls(now);
    }
    evacuated.clear();
    refresh();
    queue.set_contended({});
    const auto of_two = queue.service_time(queue.waiting_pieces()) / 2;
    const auto admitted = queue.offer(make_group(100, 8), now);
    CHECK(admitted.accepted);
    CHECK(admitted.expected <= of_two + 2 * queue.service_time(8));
}
