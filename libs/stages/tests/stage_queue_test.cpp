#include "queue_fixture.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::stages;

TEST_CASE_METHOD(queue_fixture, "pieces of several requests go into one full call") {
    add_endpoint("one");
    offer(1, 3);
    auto first = queue.next_calls(now);
    REQUIRE(first.size() == 1);
    offer(2, 3);
    offer(3, 3);
    offer(4, 2);
    CHECK(queue.next_calls(now).empty());
    complete(first[0]);
    const auto second = queue.next_calls(now);
    REQUIRE(second.size() == 1);
    CHECK(second[0].pieces.size() == 8);
}

TEST_CASE_METHOD(queue_fixture,
                 "a group finishes once all its pieces are complete, with results in their order") {
    add_endpoint("one");
    add_endpoint("two");
    offer(1, 12);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 2);
    complete(calls[1]);
    CHECK(queue.take_finished(now).empty());
    complete(calls[0]);
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    REQUIRE(ended[0].results.size() == 12);
    for (unsigned i = 0; i < 12; ++i) {
        CHECK(ended[0].results[i].handle.ends_with("/1." + std::to_string(i)));
    }
}

TEST_CASE_METHOD(queue_fixture, "more urgent groups go first, and late groups go last") {
    add_endpoint("one");
    const auto busy = occupy_endpoint();
    offer(1, 8, 1, milliseconds{2'000});
    offer(2, 8, 0, milliseconds{100}); // can no longer meet its soft deadline
    offer(3, 8, 0, milliseconds{2'000});
    complete(busy);
    std::vector<std::string> order;
    for (int i = 0; i < 3; ++i) {
        const auto calls = queue.next_calls(now);
        REQUIRE(calls.size() == 1);
        order.push_back(calls[0].pieces[0].request_id);
        complete(calls[0]);
    }
    CHECK(order == std::vector<std::string>{"3", "1", "2"});
}

// A group that was split kept the memory of its first results while newer groups went before the
// rest of it.
TEST_CASE_METHOD(queue_fixture, "a group that has begun is completed before others are started") {
    add_endpoint("one");
    offer(1, 12, 1);
    const auto first = queue.next_calls(now); // 8 of its 12 pieces
    REQUIRE(first.size() == 1);
    offer(2, 2, 0); // more urgent
    complete(first[0]);
    const auto second = queue.next_calls(now);
    REQUIRE(second.size() == 1);
    REQUIRE(second[0].pieces.size() == 6);
    CHECK(second[0].pieces.front().request_id == "1");
    CHECK(second[0].pieces.back().request_id == "2");
}

// In an overload, groups that had become late waited behind all newer ones until their callers gave
// up.
TEST_CASE_METHOD(queue_fixture,
                 "a group that cannot meet its deadline behind others is dropped before it") {
    add_endpoint("one");
    (void)occupy_endpoint();
    auto late = make_group(1, 8);
    late.priority = 2;
    late.hard_deadline = now + seconds{3};
    const auto admitted = queue.offer(std::move(late), now);
    REQUIRE(admitted.accepted);
    for (std::uint64_t id = 2; id < 16; ++id) {
        offer(id, 8); // about 280 ms each, and more urgent
    }
    CHECK(queue.next_calls(now).empty());
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == 1);
    CHECK(ended[0].expired);
    CHECK(ended[0].retry_after > milliseconds{500});
    CHECK(queue.waiting_pieces() == std::size_t{14} * 8);
}

TEST_CASE_METHOD(queue_fixture, "a group that has started is not dropped because of a long queue") {
    add_endpoint("one");
    auto begun = make_group(1, 12);
    begun.priority = 2;
    begun.hard_deadline = now + seconds{3};
    const auto admitted = queue.offer(std::move(begun), now);
    REQUIRE(admitted.accepted);
    REQUIRE(queue.next_calls(now).size() == 1);
    for (std::uint64_t id = 2; id < 16; ++id) {
        offer(id, 8);
    }
    CHECK(queue.take_finished(now).empty());
}

// Guards against refusing groups while all endpoints of a service back off briefly after refusing a
// call or two.
TEST_CASE_METHOD(queue_fixture, "endpoints in a short back-off still count as capacity") {
    add_endpoint("one");
    offer(1, 8);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    queue.call_ended(calls[0].id, call_outcome::refused, {}, now);
    auto next = make_group(2, 8);
    next.hard_deadline = now + milliseconds{700};
    const auto admitted = queue.offer(std::move(next), now);
    CHECK(admitted.accepted);
}

TEST_CASE_METHOD(queue_fixture, "a contended endpoint is used last") {
    add_endpoint("one");
    add_endpoint("two");
    queue.set_contended({"one"});
    offer(1, 2);
    const auto first = queue.next_calls(now);
    REQUIRE(first.size() == 1);
    CHECK(first[0].endpoint == "two");
    offer(2, 2); // "two" is busy for less than a full call
    CHECK(queue.next_calls(now).empty());
    offer(3, 8);
    offer(4, 8); // now "two" is more than a full call behind
    const auto more = queue.next_calls(now);
    REQUIRE(more.size() == 1);
    CHECK(more[0].endpoint == "one");
}

TEST_CASE_METHOD(queue_fixture, "an avoided data centre gets no calls") {
    add_endpoint("here", "a");
    add_endpoint("there", "b");
    queue.set_avoided_data_centres({"b"});
    offer(1, 8);
    offer(2, 8);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "here");
    queue.set_avoided_data_centres({"a", "b"}); // all are avoided, so all are used
    CHECK(queue.next_calls(now).size() == 1);
}

TEST_CASE_METHOD(queue_fixture, "the pieces of a failed call go to another endpoint") {
    add_endpoint("one");
    add_endpoint("two");
    offer(1, 2);
    const auto failed = queue.next_calls(now);
    REQUIRE(failed.size() == 1);
    now += milliseconds{50};
    queue.call_ended(failed[0].id, call_outcome::broken, {}, now);
    const auto again = queue.next_calls(now);
    REQUIRE(again.size() == 1);
    CHECK(again[0].endpoint != failed[0].endpoint);
    CHECK(again[0].pieces.size() == 2);
}

// Guards against failing a request because the endpoints' memory for results is full for a while.
TEST_CASE_METHOD(queue_fixture, "a piece refused for lack of memory keeps waiting, however often") {
    add_endpoint("one");
    offer(1, 1);
    for (int i = 0; i < 8; ++i) {
        const auto calls = queue.next_calls(now);
        REQUIRE(calls.size() == 1);
        now += milliseconds{50};
        queue.call_ended(calls[0].id, call_outcome::answered, {{piece_outcome::no_room, {}}}, now);
        CHECK(queue.take_finished(now).empty());
        now += milliseconds{50};
    }
}

// A new dispatcher takes over while the endpoints still hold results of the previous one, which it
// does not track.
TEST_CASE_METHOD(queue_fixture,
                 "the memory of untracked results at an endpoint is taken into account") {
    capacity.result_memory_bytes = 800;
    queue.set_capacity(capacity);
    add_endpoint("one");
    offer(1, 8, 0, seconds{2}, 100);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    now += milliseconds{180};
    std::vector<piece_result> results(8, {piece_outcome::no_room, {}});
    results[0] = {piece_outcome::made, "a"};
    results[1] = {piece_outcome::made, "b"};
    queue.call_ended(calls[0].id, call_outcome::answered, results, now);
    CHECK(queue.next_calls(now).empty());
    CHECK(queue.next_wakeup(now) < now + milliseconds{100});
    // Untracked results count less with time, as they are read and freed; tracked results count
    // until they are released.
    now += milliseconds{500};
    CHECK(queue.next_calls(now).empty());
    offer(2, 2, 1, seconds{2}, 100);
    const auto small = queue.next_calls(now);
    REQUIRE(small.size() == 1);
    CHECK(small[0].pieces.size() == 2);
    CHECK(small[0].pieces.front().request_id == "2");
    CHECK(queue.release({"a", "b"}));
    CHECK_FALSE(queue.release({"a", "b"}));
}

TEST_CASE_METHOD(queue_fixture, "a piece that fails in all attempts fails its group") {
    add_endpoint("one");
    offer(1, 1);
    for (int i = 0; i < 4; ++i) {
        const auto calls = queue.next_calls(now);
        REQUIRE(calls.size() == 1);
        now += milliseconds{10};
        queue.call_ended(calls[0].id, call_outcome::broken, {}, now);
        now += milliseconds{3'100};
    }
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].results[0].outcome == piece_outcome::failed);
}

// An endpoint works at a fraction of its nominal speed.
TEST_CASE_METHOD(queue_fixture, "a slow endpoint gets a call only if it would finish it first") {
    add_endpoint("slow");
    add_endpoint("fast");
    offer(100, 8);
    offer(200, 8);
    const auto both = queue.next_calls(now);
    REQUIRE(both.size() == 2);
    const bool first_is_fast = both[0].endpoint == "fast";
    complete(both[first_is_fast ? 0 : 1]);
    complete(both[first_is_fast ? 1 : 0], 6);
    offer(1, 4);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "fast");
    offer(2, 4);
    CHECK(queue.next_calls(now).empty()); // finishes sooner if it waits for the fast endpoint
}

// Results fill the memory of the endpoints that produced them during a burst.
TEST_CASE_METHOD(queue_fixture, "calls respect the memory for results") {
    capacity.result_memory_bytes = 10'000'000;
    queue.set_capacity(capacity);
    add_endpoint("one");
    offer(1, 3, 0, milliseconds{2'000}, 3'000'000);
    const auto first = queue.next_calls(now);
    REQUIRE(first.size() == 1);
    complete(first[0]);
    offer(2, 3, 0, milliseconds{2'000}, 3'000'000);
    offer(3, 2, 0, milliseconds{2'000}, 1'000);
    const auto small = queue.next_calls(now);
    REQUIRE(small.size() == 1);
    CHECK(small[0].pieces[0].request_id == "3");
    complete(small[0]);
    CHECK(queue.next_calls(now).empty());
    for (const auto& ended : queue.take_finished(now)) {
        std::vector<std::string> handles;
        for (const auto& result : ended.results) {
            handles.push_back(result.handle);
        }
        queue.release(handles);
    }
    CHECK(queue.next_calls(now).size() == 1);
}

// Large results are read where they were produced, or transferred at a cost.
TEST_CASE_METHOD(queue_fixture,
                 "a group with data that is expensive to transfer waits for a near endpoint") {
    add_endpoint("near", "a");
    auto busy = occupy_endpoint();
    add_endpoint("far", "b");
    auto with_slack = make_group(1, 2);
    with_slack.near_data_centre = "a";
    with_slack.soft_deadline = now + seconds{2};
    REQUIRE(queue.offer(with_slack, now).accepted);
    CHECK(queue.next_calls(now).empty());
    auto without_slack = make_group(2, 2);
    without_slack.near_data_centre = "a";
    without_slack.soft_deadline = now + milliseconds{500};
    REQUIRE(queue.offer(without_slack, now).accepted);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "far");
    CHECK(calls[0].pieces[0].request_id == "2");
    complete(busy);
    const auto later = queue.next_calls(now);
    REQUIRE(later.size() == 1);
    CHECK(later[0].endpoint == "near");
}

TEST_CASE_METHOD(queue_fixture, "a group that cannot meet its deadline is refused at once") {
    add_endpoint("one");
    (void)occupy_endpoint();
    for (int i = 0; i < 20; ++i) {
        offer(100 + i, 8);
    }
    piece_group infeasible = make_group(1, 4);
    infeasible.hard_deadline = now + milliseconds{500};
    const auto admitted = queue.offer(infeasible, now);
    CHECK_FALSE(admitted.accepted);
    CHECK(admitted.retry_after > milliseconds{1'000});
}

TEST_CASE_METHOD(queue_fixture, "a group that waits past its deadline is dropped and not run") {
    add_endpoint("one");
    const auto busy = occupy_endpoint();
    piece_group waiting = make_group(1, 1);
    waiting.hard_deadline = now + milliseconds{600};
    REQUIRE(queue.offer(waiting, now).accepted);
    now += milliseconds{500};
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].expired);
    complete(busy);
    CHECK(queue.next_calls(now).empty());
}

TEST_CASE_METHOD(queue_fixture, "results of a cancelled group are orphaned") {
    add_endpoint("one");
    offer(1, 2);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    queue.cancel(1);
    complete(calls[0]);
    CHECK(queue.take_finished(now).empty());
    CHECK(queue.take_orphaned_results().size() == 2);
}

TEST_CASE_METHOD(queue_fixture, "a draining or evacuated endpoint gets no call", "[invariant]") {
    add_endpoint("leaves").state = catalog::endpoint_state::draining;
    add_endpoint("out", "b");
    evacuated.insert("b");
    refresh();
    offer(1, 2);
    CHECK(queue.next_calls(now).empty());
}

// A full endpoint was called again after 40 ms, whatever time it had named.
TEST_CASE_METHOD(queue_fixture, "an endpoint gets no call before the time that it named",
                 "[invariant]") {
    add_endpoint("one");
    offer(1, 1);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    queue.call_ended(calls[0].id, call_outcome::refused, {}, now);
    queue.on_retry_after("one", seconds{3}, now);
    now += milliseconds{2'900};
    CHECK(queue.next_calls(now).empty());
    now += milliseconds{100};
    CHECK(queue.next_calls(now).size() == 1);
}

// An endpoint that announces a limit got the next call as soon as one had ended.
TEST_CASE_METHOD(queue_fixture, "calls to an endpoint with a call interval are spaced",
                 "[invariant]") {
    add_endpoint("one");
    offer(1, 1);
    offer(2, 1);
    const auto first = queue.next_calls(now);
    REQUIRE(first.size() == 1);
    now += milliseconds{200};
    queue.call_ended(first[0].id, call_outcome::refused, {}, now);
    queue.set_call_intervals({{"one", seconds{2}}}); // counts from the last call
    now += milliseconds{1'750};
    CHECK(queue.next_calls(now).empty());
    now += milliseconds{50};
    const auto second = queue.next_calls(now);
    REQUIRE(second.size() == 1);
    queue.call_ended(second[0].id, call_outcome::refused, {}, now);
    now += milliseconds{1'900};
    CHECK(queue.next_calls(now).empty());
    now += milliseconds{100};
    CHECK(queue.next_calls(now).size() == 1);
}

TEST_CASE_METHOD(queue_fixture, "a group is refused at once if no endpoint takes calls in time") {
    add_endpoint("one");
    queue.on_retry_after("one", seconds{30}, now);
    const auto admitted = queue.offer(make_group(1, 1), now); // useless after 20 s
    CHECK_FALSE(admitted.accepted);
    CHECK(admitted.retry_after >= seconds{10});
}
