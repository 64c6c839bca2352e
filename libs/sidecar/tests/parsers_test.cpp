/// \file
/// The parsers at the sidecar's boundaries, under random changes of valid input.
#include "base/random.hpp"
#include "endpoint_messages.hpp"
#include "work_message.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace boragefront;
using namespace boragefront::sidecar;

namespace {

constexpr int rounds = 3'000;

// Changes, removes, doubles or cuts some bytes.
std::string mutated(std::string text, random_source& random) {
    const auto pick = [&](std::size_t below) {
        return std::uniform_int_distribution<std::size_t>{0, below - 1}(random);
    };
    for (auto changes = pick(4) + 1; changes > 0 && !text.empty(); --changes) {
        const auto at = pick(text.size());
        switch (pick(4)) {
        case 0:
            text[at] = static_cast<char>(pick(256));
            break;
        case 1:
            text.erase(at, pick(8) + 1);
            break;
        case 2:
            text.insert(at, text.substr(at, pick(16)));
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

void for_each_mutation(const std::string& valid,
                       const std::function<void(const std::string&)>& check) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CAPTURE(seed);
        random_source random{seed};
        for (int i = 0; i < rounds; ++i) {
            check(mutated(valid, random));
        }
    }
}

http::request valid_work() {
    http::request message{.method = "POST", .target = "/v1/work"};
    message.headers.set("Boragefront-Work", "0190a5a0-0000-7000-8000-000000000000/2/1");
    message.headers.set("Boragefront-Incarnation", "7");
    message.headers.set("Boragefront-Expires-At", "123456789");
    message.headers.set("Boragefront-Workspace", "w");
    message.headers.set("Boragefront-Service", "s");
    message.headers.set("Boragefront-Lane", "urgent");
    message.headers.set("Boragefront-Share", "2.5");
    message.headers.set("Boragefront-Repeatable", "0");
    message.headers.set("Boragefront-Idempotency-Key", "0190a5a0-0000-7000-8000-000000000000");
    message.body = R"({"a":[1,2,{"b":"c"}]})";
    return message;
}

} // namespace

TEST_CASE("a valid request for work is read whole") {
    const auto read = read_work(valid_work());
    REQUIRE(read);
    const auto& work = read.value();
    REQUIRE(work.offered.record.id.stage == 2);
    REQUIRE(work.offered.record.id.attempt == 1);
    REQUIRE(work.offered.lane == config::lane::urgent);
    REQUIRE(work.offered.share == 2.5);
    REQUIRE_FALSE(work.offered.idempotent);
    REQUIRE(work.offered.record.expires_at == time_point{nanoseconds{123456789}});
}

TEST_CASE("requests with any header or body garbled are read or refused by field") {
    for (const auto& garbled : valid_work().headers) {
        for_each_mutation(garbled.value, [&](const std::string& value) {
            auto message = valid_work();
            message.headers.set(garbled.name, value);
            const auto read = read_work(message);
            if (!read) {
                REQUIRE(read.error().kind == error_kind::bad_request);
                REQUIRE(read.error().field == garbled.name);
            }
        });
    }
    for_each_mutation(valid_work().body, [](const std::string& body) {
        auto message = valid_work();
        message.body = body;
        const auto read = read_work(message);
        REQUIRE((read || read.error().field == "body"));
    });
}

TEST_CASE("garbled answers of an endpoint are not taken for answers to the work") {
    const work_id id{"r", 0, 0};
    for_each_mutation(R"({"identity":"r/0/0","output":{"x":[1,2,3]}})",
                      [&](const std::string& body) {
                          if (read_output(body, id)) {
                              REQUIRE(body.find("r/0/0") != std::string::npos);
                          }
                      });
    REQUIRE_FALSE(read_output(R"({"identity":"r/0/1","output":1})", id));
    REQUIRE_FALSE(read_output(R"({"identity":"r/0/0"})", id));
    for_each_mutation(R"({"instance":"a","state":"cold","running":3,"cached_prefixes":2})",
                      [](const std::string& body) { (void)read_load(body); });
    for_each_mutation(R"({"error": "overloaded"})",
                      [](const std::string& body) { (void)says_overloaded(503, body); });
}

TEST_CASE("a stream's lines count only in their places, and its end only with their number") {
    using kind = stream_check::line_kind;
    stream_check check;
    REQUIRE(check.next(R"({"index":1,"text":"b"})") == kind::invalid);
    REQUIRE(check.next(R"({"index":0,"text":"a"})") == kind::token);
    REQUIRE(check.next(R"({"index":0,"text":"a"})") == kind::invalid);
    REQUIRE(check.next(R"({"end":true,"count":2})") == kind::invalid);
    REQUIRE(check.next(R"({"end":true,"count":1})") == kind::end);
    for_each_mutation(R"({"index":1,"text":"b"})",
                      [&](const std::string& line) { (void)check.next(line); });
}
