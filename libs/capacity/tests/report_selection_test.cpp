#include "capacity/report_selection.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace boragefront;
using namespace boragefront::capacity;

// Guards against messages that grow with the fleet, and against endpoints that are never told of.
TEST_CASE("a message has the most different estimates, and all others in turn") {
    std::vector<estimate_report> reports;
    for (std::uint64_t i = 0; i < 100; ++i) {
        reports.push_back({i, 1, i < 10 ? 40U : 100U, 0, milliseconds{0}});
    }
    std::set<std::uint64_t> sent;
    for (std::size_t round = 0; round < 12; ++round) {
        const auto selected = select_reports(reports, 24, round);
        CHECK(selected.size() == 24);
        std::set<std::uint64_t> in_message;
        for (const auto& one : selected) {
            in_message.insert(one.endpoint);
            sent.insert(one.endpoint);
        }
        CHECK(in_message.size() == 24);
        for (std::uint64_t slow = 0; slow < 10; ++slow) {
            CHECK(in_message.contains(slow));
        }
    }
    CHECK(sent.size() == 100);
}
