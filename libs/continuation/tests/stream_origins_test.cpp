#include "continuation/stream_origins.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace boragefront;
using namespace boragefront::continuation;

namespace {

const time_point start{seconds{1'000}};
const stream_origin first{make_service_key("model"), make_version_key("v1")};
const stream_origin second{make_service_key("model"), make_version_key("v2")};

bool shared(service_key /*service*/) {
    return true;
}

bool not_shared(service_key /*service*/) {
    return false;
}

std::size_t count(const std::vector<origin_report>& reports) {
    std::size_t attempts = 0;
    for (const auto& report : reports) {
        attempts += report.attempts.size();
    }
    return attempts;
}

} // namespace

TEST_CASE("the origin of a stream is known at the entry that passed it on") {
    auto origins = stream_origins::make(10);
    origins.record("a", first, start);
    origins.record("b", second, start);
    CHECK(origins.find("a", start) == first);
    CHECK(origins.find("b", start) == second);
    CHECK_FALSE(origins.find("c", start));
    CHECK(origins.find("a", start + origin_retention));
    CHECK_FALSE(origins.find("a", start + origin_retention + milliseconds{1}));
}

// Guards against a chain of resumptions that outlives the record of its first attempt.
TEST_CASE("an origin is kept while its stream goes on") {
    auto origins = stream_origins::make(10);
    origins.record("a", first, start);
    origins.record("a", first, start + seconds{50});
    CHECK(origins.find("a", start + seconds{100}) == first);
    CHECK(origins.size() == 1);
}

TEST_CASE("an attempt with two origins has none that a stream may go on at", "[invariant]") {
    auto origins = stream_origins::make(10);
    origins.record("a", first, start);
    origins.merge(origins.all(shared, 10, start), start);
    CHECK(origins.find("a", start) == first);
    origins.record("a", second, start);
    REQUIRE(origins.find("a", start));
    CHECK_FALSE(is_same_version(origins.find("a", start)->version, second.version));
    CHECK_FALSE(is_same_version(origins.find("a", start)->version, first.version));
}

TEST_CASE("other entries are told while a service is shared, and for a bounded time") {
    auto origins = stream_origins::make(10);
    origins.record("a", first, start);
    CHECK(count(origins.recent(not_shared, 10, start)) == 0);
    const auto later = start + seconds{10}; // a second version appears
    const auto told = origins.recent(shared, 10, later);
    CHECK(count(told) == 1);
    CHECK(count(origins.recent(shared, 10, later + seconds{5})) == 0);
    CHECK(count(origins.all(shared, 10, later + seconds{5})) == 1);

    auto other = stream_origins::make(10);
    other.merge(told, later);
    CHECK(other.find("a", later) == first);
    CHECK(count(other.recent(shared, 10, later)) == 1); // passes it on
    other.merge(told, later + seconds{5});
    CHECK(count(other.recent(shared, 10, later + seconds{5})) == 0);
}

TEST_CASE("the number of streams and the size of reports are bounded") {
    auto origins = stream_origins::make(100);
    for (int i = 0; i < 1'000; ++i) {
        origins.record(std::to_string(i), first, start + milliseconds{i});
    }
    CHECK(origins.size() == 100);
    const auto now = start + seconds{1};
    CHECK(origins.find("999", now));
    CHECK_FALSE(origins.find("1", now));
    const auto told = origins.recent(shared, 10, now);
    CHECK(count(told) == 10);
    auto other = stream_origins::make(100);
    other.merge(told, now);
    CHECK(other.find("999", now));
}
