#include "event_splitter.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace boragefront::gateway;

TEST_CASE("only complete events are returned") {
    event_splitter events;
    CHECK(events.append("id: 1\ndata: a").count == 0);
    CHECK(events.has_partial_event());
    const auto batch = events.append("b\n\nid: 2\nda");
    CHECK(batch.bytes == "id: 1\ndata: ab\n\n");
    CHECK(batch.last_id == 1);
    CHECK(events.append("ta: c\n\n").last_id == 2);
    CHECK_FALSE(events.has_partial_event());
}

TEST_CASE("lines may end with a carriage return") {
    event_splitter events;
    const auto batch = events.append("id: 7\r\ndata: a\r\n\r\n");
    CHECK(batch.count == 1);
    CHECK(batch.last_id == 7);
}

TEST_CASE("trouble: comments and partial events are not returned as events") {
    event_splitter events;
    for (int i = 0; i < 10; ++i) {
        CHECK(events.append(": still here\n\n").count == 0);
    }
    CHECK_FALSE(events.has_partial_event());
    CHECK(events.append("id: 1\n").count == 0);
    CHECK(events.has_partial_event());
    const auto batch = events.append("data: a\n\n: after");
    CHECK(batch.count == 1);
    CHECK(batch.bytes.starts_with(": still here\n\n"));
    CHECK(batch.bytes.ends_with("id: 1\ndata: a\n\n"));
    CHECK_FALSE(events.has_partial_event());
    CHECK(events.take_trailing_comments() == ": after");
}

TEST_CASE("trouble: an event without an end is not searched repeatedly") {
    event_splitter events;
    const std::string bytes(1'024, 'x');
    for (int i = 0; i < 1'024; ++i) {
        CHECK(events.append(bytes).count == 0);
    }
    CHECK(events.pending_bytes() == bytes.size() * 1'024);
}

TEST_CASE("events delivered before the stream was resumed are dropped") {
    event_splitter events{5};
    const auto batch = events.append("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6\ndata: c\n\n");
    CHECK(batch.bytes == "id: 6\ndata: c\n\n");
    CHECK(batch.count == 1);
}

TEST_CASE("events are complete however the bytes are split") {
    const auto seed = GENERATE(range(1U, 20U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    std::string input;
    for (int i = 1; i <= 40; ++i) {
        input += "id: " + std::to_string(i) + "\ndata: " + std::string(random() % 30, 'x') + "\n\n";
    }
    event_splitter events;
    std::string output;
    for (std::size_t offset = 0; offset < input.size();) {
        const auto size = 1 + random() % 17;
        output += events.append(std::string_view{input}.substr(offset, size)).bytes;
        offset += size;
    }
    CHECK(output == input);
    CHECK_FALSE(events.has_partial_event());
}
