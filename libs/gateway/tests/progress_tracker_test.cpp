#include "progress_tracker.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {
const time_point start{seconds{1'000}};
} // namespace

TEST_CASE("trouble: single bytes at long intervals are not progress") {
    constexpr std::size_t step = 1'024;
    progress_tracker tracker{step, start};
    for (int i = 1; i <= 100; ++i) {
        tracker.record(1, start + i * milliseconds{300});
    }
    CHECK(tracker.last_progress_at() == start);
    CHECK_FALSE(tracker.has_progress());
}

TEST_CASE("trouble: a slow but steady response makes progress") {
    constexpr std::size_t step = 1'024;
    progress_tracker tracker{step, start};
    tracker.record(1'000, start + milliseconds{100});
    CHECK(tracker.last_progress_at() == start);
    tracker.record(24, start + milliseconds{200});
    CHECK(tracker.last_progress_at() == start + milliseconds{200});
    CHECK(tracker.has_progress());
    tracker.record(4'096, start + milliseconds{300});
    CHECK(tracker.last_progress_at() == start + milliseconds{300});
}
