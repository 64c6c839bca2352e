#include "progress_tracker.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {
const time_point start{seconds{1'000}};
} // namespace

TEST_CASE("trouble: a byte now and then is no progress") {
    constexpr std::size_t portion = 1'024;
    progress_watch watch{portion, start};
    for (int i = 1; i <= 100; ++i) {
        watch.note(1, start + i * milliseconds{300});
    }
    CHECK(watch.since() == start);
    CHECK_FALSE(watch.any());
}

TEST_CASE("trouble: a slow answer that keeps coming makes progress") {
    constexpr std::size_t portion = 1'024;
    progress_watch watch{portion, start};
    watch.note(1'000, start + milliseconds{100});
    CHECK(watch.since() == start);
    watch.note(24, start + milliseconds{200});
    CHECK(watch.since() == start + milliseconds{200});
    CHECK(watch.any());
    watch.note(4'096, start + milliseconds{300});
    CHECK(watch.since() == start + milliseconds{300});
}
