#include "quarantine/recent_responses.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::quarantine;

namespace {
const time_point start{seconds{1'000}};
}

TEST_CASE("the last response of each part is remembered, of a bounded number of parts") {
    recent_responses responses;
    responses.record({"common", "first"}, start);
    for (int i = 0; i < 20'000; ++i) {
        responses.record({"common", "part-" + std::to_string(i)}, start + milliseconds{i});
    }
    CHECK(responses.size() == 8'192);
    CHECK(responses.last("common") == start + milliseconds{19'999});
    CHECK_FALSE(responses.last("first"));
}

TEST_CASE("responses after a point in time are counted") {
    recent_responses responses;
    CHECK_FALSE(responses.any_after(start, 1));
    responses.record({}, start + milliseconds{1});
    responses.record({}, start + milliseconds{2});
    CHECK(responses.any_after(start, 2));
    CHECK_FALSE(responses.any_after(start + milliseconds{1}, 2));
    CHECK_FALSE(responses.any_after(start, 3));
}
