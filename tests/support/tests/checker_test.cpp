#include "support/checker.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::support;

namespace {

call_record order(const std::string& marker) {
    call_record made;
    made.asked = {.workspace = "w", .service = "orders", .marker = marker, .order = true};
    made.request_id = std::string{"r"};
    return made;
}

call_record whole(call_record made) {
    made.whole = true;
    made.status = 200;
    made.result = {
        {"marker", made.asked.marker}, {"request", "r"}, {"trail", boost::json::array{"orders"}}};
    return made;
}

call_record not_run(call_record made) {
    made.ran = work_ran::no;
    return made;
}

recorded_start start_of(const std::string& marker) {
    return {.endpoint = "e", .identity = "r/0/0", .marker = marker, .at = {}, .running = 1};
}

std::size_t faults(const std::vector<call_record>& answers, const recorded_runs& runs,
                   const checked_limits& limits = {}) {
    return check(answers, runs, limits).faults.size();
}

} // namespace

TEST_CASE("the checker accepts what is true") {
    REQUIRE(faults({whole(order("a")), not_run(order("b")), order("c")},
                   {.starts = {start_of("a"), start_of("c")}}) == 0);
}

TEST_CASE("the checker sees each broken invariant") {
    REQUIRE(faults({order("a")}, {.starts = {start_of("a"), start_of("a")}}) == 1);
    REQUIRE(faults({not_run(order("a"))}, {.starts = {start_of("a")}}) == 1);
    REQUIRE(faults({whole(order("a"))}, {}) == 1);
    auto crossed = whole(order("a"));
    crossed.result["marker"] = "b";
    REQUIRE(faults({crossed}, {.starts = {start_of("a")}}) == 1);
    auto partial = whole(order("a"));
    partial.asked.stages = 2;
    REQUIRE(faults({partial}, {.starts = {start_of("a")}}) == 1);
    REQUIRE(faults({whole(order("a"))}, {.starts = {start_of("a")}}, {.running = 0}) == 1);
}

TEST_CASE("an order is unknown only if no answer settles it") {
    const auto judged = check({order("a"), whole(order("a")), order("b"), not_run(order("c"))},
                              {.starts = {start_of("a")}}, {});
    REQUIRE(judged.faults.empty());
    REQUIRE(judged.orders == 3);
    REQUIRE(judged.orders_unknown == 1);
    REQUIRE(judged.orders_whole == 1);
    REQUIRE(judged.orders_not_run == 1);
}
