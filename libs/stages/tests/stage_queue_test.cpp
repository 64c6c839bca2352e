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
    end(first[0]);
    const auto second = queue.next_calls(now);
    REQUIRE(second.size() == 1);
    CHECK(second[0].pieces.size() == 8);
}

TEST_CASE_METHOD(queue_fixture, "a group ends once all its pieces are made, in their order") {
    add_endpoint("one");
    add_endpoint("two");
    offer(1, 12);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 2);
    end(calls[1]);
    CHECK(queue.take_finished(now).empty());
    end(calls[0]);
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    REQUIRE(ended[0].results.size() == 12);
    for (unsigned i = 0; i < 12; ++i) {
        CHECK(ended[0].results[i].handle.ends_with("/1." + std::to_string(i)));
    }
}

TEST_CASE_METHOD(queue_fixture, "more urgent groups go first, and what is late yields") {
    add_endpoint("one");
    const auto busy = hold_endpoint();
    offer(1, 8, 1, milliseconds{2'000});
    offer(2, 8, 0, milliseconds{100}); // its goal can no longer be met
    offer(3, 8, 0, milliseconds{2'000});
    end(busy);
    std::vector<std::string> order;
    for (int i = 0; i < 3; ++i) {
        const auto calls = queue.next_calls(now);
        REQUIRE(calls.size() == 1);
        order.push_back(calls[0].pieces[0].request_id);
        end(calls[0]);
    }
    CHECK(order == std::vector<std::string>{"3", "1", "2"});
}

// Answers the pattern of an overload in which groups that have become late wait behind all newer
// ones until their callers leave.
TEST_CASE_METHOD(queue_fixture, "a group that others leave no time is given up before its end") {
    add_endpoint("one");
    (void)hold_endpoint();
    auto late = make_group(1, 8);
    late.priority = 2;
    late.hard_deadline = now + seconds{3};
    const auto admitted = queue.offer(std::move(late), now);
    REQUIRE(admitted.accepted);
    for (std::uint64_t id = 2; id < 16; ++id) {
        offer(id, 8); // some 280 ms each, and more urgent
    }
    CHECK(queue.next_calls(now).empty());
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].id == 1);
    CHECK(ended[0].expired);
    CHECK(ended[0].retry_after > milliseconds{500});
    CHECK(queue.waiting_pieces() == std::size_t{14} * 8);
}

TEST_CASE_METHOD(queue_fixture, "a group that is partly made is not given up for a long queue") {
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

// Answers the pattern of a service whose endpoints all refuse a call or two for a moment.
TEST_CASE_METHOD(queue_fixture, "endpoints that are held for a moment still count as capacity") {
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

TEST_CASE_METHOD(queue_fixture, "an endpoint that another queue has a right to is taken last") {
    add_endpoint("one");
    add_endpoint("two");
    queue.set_contended({"one"});
    offer(1, 2);
    const auto first = queue.next_calls(now);
    REQUIRE(first.size() == 1);
    CHECK(first[0].endpoint == "two");
    offer(2, 2); // the own one is busy for less than a full call
    CHECK(queue.next_calls(now).empty());
    offer(3, 8);
    offer(4, 8); // now it is far behind
    const auto more = queue.next_calls(now);
    REQUIRE(more.size() == 1);
    CHECK(more[0].endpoint == "one");
}

TEST_CASE_METHOD(queue_fixture, "nothing goes to a data centre that cannot be reached") {
    add_endpoint("here", "a");
    add_endpoint("there", "b");
    queue.set_unreachable_data_centres({"b"});
    offer(1, 8);
    offer(2, 8);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "here");
    queue.set_unreachable_data_centres({"a", "b"}); // then any is better than none
    CHECK(queue.next_calls(now).size() == 1);
}

TEST_CASE_METHOD(queue_fixture, "the pieces of an endpoint that fails are made elsewhere") {
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

// Answers the pattern of makers whose memory is full of results for a while.
TEST_CASE_METHOD(queue_fixture, "a piece that finds no room waits on, however often") {
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

// Answers the pattern of a dispatcher that takes over while its makers still keep results which
// the one before it had made.
TEST_CASE_METHOD(queue_fixture, "an endpoint fuller than the accounts say gets room to itself") {
    capacity.result_room_bytes = 800;
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
    // What it does not know of is read and freed with time; what it knows of counts until then.
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

TEST_CASE_METHOD(queue_fixture, "a piece that fails everywhere fails its group") {
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

// Answers the pattern of an endpoint that works at a fraction of its pace.
TEST_CASE_METHOD(queue_fixture, "a slow endpoint gets a call only if it would end it first") {
    add_endpoint("slow");
    add_endpoint("fast");
    offer(100, 8);
    offer(200, 8);
    const auto both = queue.next_calls(now);
    REQUIRE(both.size() == 2);
    const bool first_is_fast = both[0].endpoint == "fast";
    end(both[first_is_fast ? 0 : 1]);
    end(both[first_is_fast ? 1 : 0], 6);
    offer(1, 4);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "fast");
    offer(2, 4);
    CHECK(queue.next_calls(now).empty()); // sooner done after the fast one's call
}

// Answers the pattern of results that fill their makers' memory during a burst.
TEST_CASE_METHOD(queue_fixture, "calls keep to the room for results") {
    capacity.result_room_bytes = 10'000'000;
    queue.set_capacity(capacity);
    add_endpoint("one");
    offer(1, 3, 0, milliseconds{2'000}, 3'000'000);
    const auto first = queue.next_calls(now);
    REQUIRE(first.size() == 1);
    end(first[0]);
    offer(2, 3, 0, milliseconds{2'000}, 3'000'000);
    offer(3, 2, 0, milliseconds{2'000}, 1'000);
    const auto small = queue.next_calls(now);
    REQUIRE(small.size() == 1);
    CHECK(small[0].pieces[0].request_id == "3");
    end(small[0]);
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

// Answers the pattern of large results, which are read where they are made or moved at a price.
TEST_CASE_METHOD(queue_fixture, "a group that is dear to move waits for a near endpoint") {
    add_endpoint("near", "a");
    auto busy = hold_endpoint();
    add_endpoint("far", "b");
    auto patient = make_group(1, 2);
    patient.near_data_centre = "a";
    patient.soft_deadline = now + seconds{2};
    REQUIRE(queue.offer(patient, now).accepted);
    CHECK(queue.next_calls(now).empty());
    auto pressed = make_group(2, 2);
    pressed.near_data_centre = "a";
    pressed.soft_deadline = now + milliseconds{500};
    REQUIRE(queue.offer(pressed, now).accepted);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoint == "far");
    CHECK(calls[0].pieces[0].request_id == "2");
    end(busy);
    const auto later = queue.next_calls(now);
    REQUIRE(later.size() == 1);
    CHECK(later[0].endpoint == "near");
}

TEST_CASE_METHOD(queue_fixture, "what cannot be made in time is refused at once") {
    add_endpoint("one");
    (void)hold_endpoint();
    for (int i = 0; i < 20; ++i) {
        offer(100 + i, 8);
    }
    piece_group hopeless = make_group(1, 4);
    hopeless.hard_deadline = now + milliseconds{500};
    const auto answer = queue.offer(hopeless, now);
    CHECK_FALSE(answer.accepted);
    CHECK(answer.retry_after > milliseconds{1'000});
}

TEST_CASE_METHOD(queue_fixture, "a group that waits too long is given up, not made in vain") {
    add_endpoint("one");
    const auto busy = hold_endpoint();
    piece_group waiting = make_group(1, 1);
    waiting.hard_deadline = now + milliseconds{600};
    REQUIRE(queue.offer(waiting, now).accepted);
    now += milliseconds{500};
    const auto ended = queue.take_finished(now);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].expired);
    end(busy);
    CHECK(queue.next_calls(now).empty());
}

TEST_CASE_METHOD(queue_fixture, "results of a cancelled group are given up") {
    add_endpoint("one");
    offer(1, 2);
    const auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    queue.cancel(1);
    end(calls[0]);
    CHECK(queue.take_finished(now).empty());
    CHECK(queue.take_orphaned_results().size() == 2);
}

TEST_CASE_METHOD(queue_fixture, "a leaving or evacuated endpoint gets no call", "[invariant]") {
    add_endpoint("leaves").state = catalog::endpoint_state::draining;
    add_endpoint("out", "b");
    evacuated.insert("b");
    refresh();
    offer(1, 2);
    CHECK(queue.next_calls(now).empty());
}
