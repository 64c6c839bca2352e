#include "report.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <sstream>

using namespace boragefront;
using namespace boragefront::replay;

namespace {

trace_entry request_of(const std::string& service, milliseconds arrival) {
    trace_entry entry;
    entry.service = service;
    entry.arrival = arrival;
    entry.deadline = milliseconds{100};
    entry.expected.outcome = "answer";
    return entry;
}

outcome answered(milliseconds latency) {
    return {"answer", work_ran::yes, latency, duration{0}};
}

struct measured_case {
    std::vector<trace_entry> trace;
    std::vector<outcome> outcomes;
};

// Service "a": in time, late, failed; service "b": in time; one request is to be refused.
measured_case five_requests() {
    measured_case made;
    made.trace = {request_of("a", milliseconds{0}), request_of("a", milliseconds{500}),
                  request_of("a", milliseconds{1'200}), request_of("b", milliseconds{2'500}),
                  request_of("none", milliseconds{2'600})};
    made.trace.back().expected.outcome = "unknown_service";
    made.outcomes = {answered(milliseconds{100}),
                     answered(milliseconds{101}),
                     {"not_run"},
                     answered(milliseconds{10}),
                     {"unknown_service"}};
    return made;
}

} // namespace

TEST_CASE("attainment counts whole answers within their deadlines") {
    const auto made = five_requests();
    const auto measured = make_report(made.trace, made.outcomes, 1.0);
    REQUIRE(measured.total == 5);
    REQUIRE(measured.as_expected == 4);
    REQUIRE(measured.all.requests == 4);
    REQUIRE(measured.all.attained == 2);
    REQUIRE(measured.all.late == 1);
    REQUIRE(attainment(measured.all) == Approx(0.5));
    REQUIRE(measured.by_service.at("a").requests == 3);
    REQUIRE(measured.by_service.at("a").latency.p99 == milliseconds{101});
    REQUIRE(measured.by_service.count("none") == 0);
    REQUIRE(measured.outcomes.at("not_run") == 1);
}

TEST_CASE("seconds are those of the replay's clock") {
    const auto made = five_requests();
    const auto normal = make_report(made.trace, made.outcomes, 1.0);
    REQUIRE(normal.seconds.size() == 3);
    REQUIRE(normal.seconds[0].requests == 2);
    REQUIRE(normal.seconds[0].attained == 1);
    const auto fast = make_report(made.trace, made.outcomes, 2.0);
    REQUIRE(fast.seconds.size() == 2);
}

TEST_CASE("the report is written as a table and as JSON") {
    const auto made = five_requests();
    auto measured = make_report(made.trace, made.outcomes, 1.0);
    measured.stages = {{"a", "encode", microseconds{4'000}, microseconds{2'000}}};
    std::ostringstream table;
    write_table(table, measured, true);
    for (const auto* part : {"50.00", "not_run", "a/encode", "second"}) {
        REQUIRE_THAT(table.str(), Catch::Contains(part));
    }
    const auto document = boost::json::parse(to_json(measured)).get_object();
    REQUIRE(document.at("all").at("attainment").as_double() == Approx(0.5));
    REQUIRE(document.at("stages").at(0).at("wasted_ms").as_double() == Approx(2.0));
}

TEST_CASE("an empty trace is wholly attained") {
    REQUIRE(attainment(make_report({}, {}, 1.0).all) == Approx(1.0));
}

TEST_CASE("cost is the difference of two readings, useful and wasted apart") {
    const auto sample_of = [](const std::string& use, double value) {
        return sample{"boragefront_stage_endpoint_us_total",
                      {{"service", "a"}, {"stage", "encode"}, {"use", use}},
                      value};
    };
    const std::vector<sample> before{sample_of("useful", 100)};
    const std::vector<sample> after{sample_of("useful", 400), sample_of("hedged", 30),
                                    sample_of("late", 20), sample{"other_total", {}, 9}};
    const auto stages = cost_between(before, after);
    REQUIRE(stages.size() == 1);
    REQUIRE(stages[0].stage == "encode");
    REQUIRE(stages[0].useful == microseconds{300});
    REQUIRE(stages[0].wasted == microseconds{50});
    REQUIRE(cost_between(after, after).empty());
}
