/// \file
/// A sidecar that does not respond, apart from the other tests: see KNOWN-RED.txt.
#include "attempts_fixture.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::entry::testing;

TEST_CASE("another sidecar answers the request if one does not respond") {
    harness fixture;
    const auto silent = [](const http::request&, http::responder&) {
        return sleep_for(test_timeout);
    };
    fixture.add_sidecar("worker-1", "workers", silent);
    fixture.add_sidecar("worker-2", "workers");
    for (int i = 0; i < 6; ++i) {
        REQUIRE(fixture.post("stock", "{}", with_deadline(milliseconds{1'000})).status == 200);
    }
}
