#include "exposition.hpp"
#include "token_stream.hpp"
#include "trace.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace boragefront;
using namespace boragefront::replay;

namespace {

const std::string good_line =
    R"({"arrival_ms": 20, "workspace": "w", "service": "s", "body": {"marker": "m-1"},)"
    R"( "deadline_ms": 100, "repeatable": false, "stream": true,)"
    R"( "expected": {"outcome": "answer", "marker": "m-1"}})";

result<std::vector<trace_entry>> read(const std::string& text) {
    std::istringstream lines{text};
    return read_trace(lines);
}

std::string without(const std::string& part) {
    auto text = good_line;
    return text.erase(text.find(part), part.size());
}

std::string outcome_of(const std::vector<std::string>& lines) {
    token_stream stream{"m-1"};
    for (const auto& line : lines) {
        stream.take_line(line);
    }
    return stream.outcome();
}

const std::vector<std::string> first_token{"event: token", R"(data: {"index": 0, "text": "m-1:0"})",
                                           ""};

std::vector<std::string> first_token_and(const std::vector<std::string>& more) {
    auto lines = first_token;
    lines.insert(lines.end(), more.begin(), more.end());
    return lines;
}

} // namespace

TEST_CASE("a trace's lines are read, in the order of arrival") {
    auto earlier = good_line;
    earlier.erase(earlier.find("0,"), 1); // 20 becomes 2
    const auto trace = read(good_line + '\n' + earlier + '\n');
    REQUIRE(trace);
    REQUIRE(trace.value().size() == 2);
    REQUIRE(trace.value()[0].arrival == milliseconds{2});
    const auto& last = trace.value()[1];
    REQUIRE(last.body == R"({"marker":"m-1"})");
    REQUIRE(last.deadline == milliseconds{100});
    REQUIRE_FALSE(last.repeatable);
    REQUIRE(last.stream);
    REQUIRE(last.expected.marker == "m-1");
}

TEST_CASE("a fault in a trace names its line and field") {
    struct bad_line {
        std::string text;
        std::string field;
    };
    const auto bad = GENERATE(bad_line{without(R"("workspace": "w", )"), "workspace"},
                              bad_line{without(R"("body": {"marker": "m-1"},)"), "body"},
                              bad_line{without(R"("outcome": "answer", )"), "expected.outcome"},
                              bad_line{without(R"("repeatable": false, )"), "repeatable"},
                              bad_line{without(R"("arrival_ms": 20, )"), "arrival_ms"},
                              bad_line{"not JSON", ""});
    CAPTURE(bad.text);
    const auto trace = read(good_line + '\n' + bad.text);
    REQUIRE_FALSE(trace);
    REQUIRE(trace.error().field == bad.field);
    REQUIRE_THAT(trace.error().detail, Catch::StartsWith("line 2"));
}

TEST_CASE("a stream is whole only with its explicit end and the right count") {
    REQUIRE(outcome_of(first_token_and({"event: end", R"(data: {"count": 1})", ""})) == "answer");
    REQUIRE(outcome_of(first_token) == "incomplete_answer");
    REQUIRE(outcome_of({}) == "incomplete_answer");
    REQUIRE(outcome_of(first_token_and({"event: end", R"(data: {"count": 2})", ""})) ==
            "unreadable_answer");
    REQUIRE(outcome_of(first_token_and(first_token)) == "unreadable_answer");
}

TEST_CASE("a stream with another request's token is foreign") {
    REQUIRE(outcome_of({"event: token", R"(data: {"index": 0, "text": "m-2:0"})", "", "event: end",
                        R"(data: {"count": 1})", ""}) == "foreign_answer");
}

TEST_CASE("a stream's error event gives its kind") {
    const auto problem = to_problem_json(make_error(error_kind::incomplete_answer, "cut"));
    REQUIRE(outcome_of(first_token_and({"event: error", "data: " + problem, ""})) ==
            "incomplete_answer");
    REQUIRE(outcome_of({"event: error", "data: garbage", ""}) == "unreadable_answer");
}

TEST_CASE("an exposition's samples are read with their labels") {
    const auto samples = parse_exposition("# a comment\n"
                                          "plain_total 3\n"
                                          "labelled{a=\"x\",b=\"y z\"} 0.5\n"
                                          "broken{a=\"x\n"
                                          "no_number{} x\n");
    REQUIRE(samples.size() == 2);
    REQUIRE(samples[0].name == "plain_total");
    REQUIRE(samples[0].value == 3.0);
    REQUIRE(samples[1].labels.at("b") == "y z");
}
