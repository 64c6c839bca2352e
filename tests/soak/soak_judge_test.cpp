// The verdict of the soak: each rule, broken once, is seen.
#include "soak_record.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::soak;

namespace {

const time_point start{seconds{1'000}};

soak_call sound_call(const std::string& id, request_kind kind) {
    soak_call call;
    call.id = id;
    call.kind = kind;
    call.sent = start;
    call.ended = start + milliseconds{50};
    call.status = 200;
    call.complete = true;
    call.answered_id = id;
    call.receipt = id + ".signed";
    call.body = "answer to " + id;
    for (int i = 1; is_stream(kind) && i <= 6; ++i) {
        call.lines.push_back("id: " + std::to_string(i));
        call.lines.push_back("data: event-" + std::to_string(i));
        call.lines.emplace_back();
    }
    return call;
}

soak_visit sound_visit(const std::string& id, const std::string& endpoint = "i-1") {
    soak_visit visit;
    visit.endpoint = endpoint;
    visit.seen.id = id;
    visit.seen.at = start + milliseconds{5};
    visit.seen.ran = true;
    visit.seen.message.method = "POST";
    visit.seen.message.target = "/path?query=%20";
    visit.seen.message.body = "body of " + id;
    visit.seen.message.headers.add("Boragefront-Expect-Instance", endpoint);
    return visit;
}

soak_record one_call(request_kind kind) {
    soak_record record;
    record.started = start;
    record.calls.push_back(sound_call("r", kind));
    record.visits.push_back(sound_visit("r"));
    return record;
}

// Calls that each meet with the same fault, more than the few that the rules let pass.
template <class Spoil>
soak_record many_calls(request_kind kind, Spoil spoil) {
    soak_record record;
    for (int i = 0; i < 10; ++i) {
        const auto id = "r-" + std::to_string(i);
        auto call = sound_call(id, kind);
        auto visit = sound_visit(id);
        spoil(call, visit);
        record.calls.push_back(std::move(call));
        record.visits.push_back(std::move(visit));
    }
    return record;
}

} // namespace

TEST_CASE("sound calls break no rule") {
    for (const auto kind : {request_kind::plain, request_kind::order, request_kind::stream,
                            request_kind::once_stream}) {
        CHECK(judge(one_call(kind)).empty());
    }
}

TEST_CASE("an order that ran twice is seen") {
    auto record = one_call(request_kind::order);
    record.visits.push_back(sound_visit("r", "i-2"));
    CHECK(judge(record).size() == 1);
}

TEST_CASE("a refusal of what ran is seen") {
    auto record = one_call(request_kind::order);
    record.calls[0].status = GENERATE(408U, 421U, 429U, 503U);
    record.calls[0].receipt.clear();
    CHECK(judge(record).size() == 1);
}

TEST_CASE("an answer without a run, of another request or changed is seen") {
    auto record = one_call(request_kind::plain);
    SECTION("no run") {
        record.visits.clear();
    }
    SECTION("another's") {
        record.calls[0].answered_id = "another";
    }
    SECTION("no receipt") {
        record.calls[0].receipt.clear();
    }
    SECTION("changed") {
        record.calls[0].body += '!';
    }
    CHECK(judge(record).size() == 1);
}

TEST_CASE("a request that was changed on its way, or that nobody sent, is seen") {
    auto record = one_call(request_kind::plain);
    SECTION("body") {
        record.visits[0].seen.message.body += '!';
    }
    SECTION("path") {
        record.visits[0].seen.message.target = "/path?query= ";
    }
    SECTION("any endpoint") {
        record.visits[0].seen.message.headers = {};
    }
    SECTION("nobody's") {
        record.visits.push_back(sound_visit("nobody's"));
    }
    CHECK(judge(record).size() == 1);
}

TEST_CASE("a stream with a missing, doubled or joined event is seen") {
    auto record = one_call(request_kind::stream);
    auto& lines = record.calls[0].lines;
    SECTION("missing") {
        lines.erase(lines.begin() + 3, lines.begin() + 6);
    }
    SECTION("doubled") {
        lines.insert(lines.begin() + 3, lines.begin(), lines.begin() + 3);
    }
    SECTION("cut short, and ends as complete") {
        lines.resize(6);
    }
    CHECK(judge(record).size() == 1);
}

TEST_CASE("inputs of another request are seen") {
    auto record = one_call(request_kind::staged);
    soak_visit maker;
    maker.endpoint = "i-2";
    maker.seen.ran = true;
    maker.seen.message.target = "/-/stage-free";
    for (const auto* handle : {"a/1", "a/2", "a/3"}) {
        maker.seen.made.push_back({"r", handle});
    }
    auto& inputs = record.visits[0].seen.message.headers;
    SECTION("own") {
        inputs.add("Boragefront-Inputs", "a/1,a/2,a/3");
        record.visits.push_back(maker);
        CHECK(judge(record).empty());
    }
    SECTION("one of another's") {
        inputs.add("Boragefront-Inputs", "a/1,a/2,a/3");
        maker.seen.made[1].request_id = "another";
        record.visits.push_back(maker);
        CHECK(judge(record).size() == 1);
    }
    SECTION("one missing") {
        inputs.add("Boragefront-Inputs", "a/1,a/2");
        record.visits.push_back(maker);
        CHECK(judge(record).size() == 1);
    }
}

TEST_CASE("a denial of what is allowed is seen") {
    auto record = one_call(request_kind::plain);
    record.visits.clear();
    record.calls[0].receipt.clear();
    record.calls[0].status = GENERATE(400U, 401U, 404U);
    CHECK(judge(record).size() == 1);
}

TEST_CASE("requests that are passed on and never answered are seen, but for disturbed gateways") {
    auto record = many_calls(request_kind::order, [](auto& call, auto&) { call.status = 0; });
    CHECK(judge(record).size() == 1);
    record.disturbances.push_back({0, start - seconds{1}, start - milliseconds{900}});
    CHECK(judge(record).empty());
}

TEST_CASE("late answers are seen") {
    const auto record = many_calls(request_kind::plain,
                                   [](auto& call, auto&) { call.ended = call.sent + seconds{5}; });
    CHECK(judge(record).size() == 1);
}

TEST_CASE("work for callers who have left is seen") {
    const auto record = many_calls(request_kind::plain, [](auto& call, auto& visit) {
        call.left = true;
        call.status = 0;
        visit.seen.at = call.ended + seconds{1};
    });
    CHECK(judge(record).size() == 1);
}

TEST_CASE("a calm span in which little is served is seen") {
    auto record = many_calls(request_kind::plain, [](auto& call, auto&) {
        call.status = 503;
        call.receipt.clear();
    });
    record.visits.clear();
    record.calm.emplace_back(start, start + seconds{3});
    CHECK(judge(record).size() == 1);
}

TEST_CASE("a stop that takes too long or fails is seen") {
    auto record = one_call(request_kind::plain);
    SECTION("long") {
        record.exits.push_back({0, 0, seconds{5}});
    }
    SECTION("failed") {
        record.exits.push_back({0, 134, seconds{1}});
    }
    CHECK(judge(record).size() == 1);
}
