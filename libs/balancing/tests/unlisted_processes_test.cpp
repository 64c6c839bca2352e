#include "balancing/unlisted_processes.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace boragefront;
using namespace boragefront::balancing;

namespace {

const time_point start{seconds{1'000}};

process_terms paused_for(seconds time) {
    process_terms terms;
    terms.paused_until = start + time;
    return terms;
}

} // namespace

TEST_CASE("terms are kept for one process, once") {
    unlisted_processes unlisted;
    unlisted.keep("one", 7, paused_for(seconds{20}), start);
    CHECK(unlisted.take("one", 8).paused_until == time_point{});
    CHECK(unlisted.take("one", 7).paused_until == start + seconds{20});
    CHECK(unlisted.take("one", 7).paused_until == time_point{});
}

TEST_CASE("terms of an unknown process, and those that have run out, are not kept") {
    unlisted_processes unlisted;
    unlisted.keep("one", 0, paused_for(seconds{20}), start);
    unlisted.keep("two", 7, paused_for(seconds{0}), start);
    CHECK(unlisted.size() == 0);
}

// Endpoints may be replaced in any number while each asks for an hour.
TEST_CASE("the number of processes is bounded, and those missing for longest go first") {
    unlisted_processes unlisted;
    for (int i = 0; i < 10'000; ++i) {
        unlisted.keep("endpoint-" + std::to_string(i), 7, paused_for(seconds{3'600}),
                      start + milliseconds{i});
    }
    CHECK(unlisted.size() == 1'024);
    CHECK(unlisted.take("endpoint-9999", 7).paused_until == start + seconds{3'600});
    CHECK(unlisted.take("endpoint-0", 7).paused_until == time_point{});
}
