#include "quarantine/observed_response.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::quarantine;

namespace {

const time_point start{seconds{1'000}};

} // namespace

// The first event was taken for a sound answer, and released parts that crash engines after it.
TEST_CASE("a response is not sound because its content begins") {
    observed_response response;
    CHECK(response.progress() == response_progress::none);
    response.record_head();
    CHECK(response.progress() == response_progress::head);
    CHECK_FALSE(response.record_content(start));
    CHECK(response.progress() == response_progress::first_content);
    CHECK_FALSE(response.record_content(start + sound_response_time - milliseconds{1}));
    CHECK(response.progress() == response_progress::content);
    CHECK(response.content_at() == start);
    CHECK_FALSE(response.is_sound());
}

// Parts that a crash involved while the response was under way are cleared before its end.
TEST_CASE("a response that goes on is shown to be sound at intervals") {
    observed_response response;
    int times = 0;
    for (milliseconds elapsed{0}; elapsed <= sound_response_time * 3;
         elapsed += milliseconds{100}) {
        times += response.record_content(start + elapsed) ? 1 : 0;
    }
    CHECK(times == 3);
    CHECK(response.is_sound());
}
