#include "event_splitter.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace boragefront::gateway;

TEST_CASE("only whole events pass") {
    event_splitter events;
    CHECK(events.add("id: 1\ndata: a").count == 0);
    CHECK(events.mid_event());
    const auto batch = events.add("b\n\nid: 2\nda");
    CHECK(batch.bytes == "id: 1\ndata: ab\n\n");
    CHECK(batch.last_id == 1);
    CHECK(events.add("ta: c\n\n").last_id == 2);
    CHECK_FALSE(events.mid_event());
}

TEST_CASE("lines may end with a carriage return") {
    event_splitter events;
    const auto batch = events.add("id: 7\r\ndata: a\r\n\r\n");
    CHECK(batch.count == 1);
    CHECK(batch.last_id == 7);
}

TEST_CASE("trouble: comments and pieces of an event are no events") {
    event_splitter events;
    for (int i = 0; i < 10; ++i) {
        CHECK(events.add(": still here\n\n").count == 0);
    }
    CHECK_FALSE(events.mid_event());
    CHECK(events.add("id: 1\n").count == 0);
    CHECK(events.mid_event());
    const auto batch = events.add("data: a\n\n: after");
    CHECK(batch.count == 1);
    CHECK(batch.bytes.starts_with(": still here\n\n"));
    CHECK(batch.bytes.ends_with("id: 1\ndata: a\n\n"));
    CHECK_FALSE(events.mid_event());
    CHECK(events.take_comments() == ": after");
}

TEST_CASE("trouble: an event without an end is not searched again and again") {
    event_splitter events;
    const std::string bytes(1'024, 'x');
    for (int i = 0; i < 1'024; ++i) {
        CHECK(events.add(bytes).count == 0);
    }
    CHECK(events.pending_bytes() == bytes.size() * 1'024);
}

TEST_CASE("events that were delivered before a resumption are dropped") {
    event_splitter events{5};
    const auto batch = events.add("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\ndata: c\n\n");
    CHECK(batch.bytes == "id: 6\ndata: c\n\n");
    CHECK(batch.count == 1);
}

TEST_CASE("events pass whole however the bytes are cut") {
    const auto seed = GENERATE(range(1U, 20U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    std::string all;
    for (int i = 1; i <= 40; ++i) {
        all += "id: " + std::to_string(i) + "\ndata: " + std::string(random() % 30, 'x') + "\n\n";
    }
    event_splitter events;
    std::string passed;
    for (std::size_t at = 0; at < all.size();) {
        const auto size = 1 + random() % 17;
        passed += events.add(std::string_view{all}.substr(at, size)).bytes;
        at += size;
    }
    CHECK(passed == all);
    CHECK_FALSE(events.mid_event());
}
