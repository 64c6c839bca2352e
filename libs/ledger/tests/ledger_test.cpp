/// \file
/// The records of work identities and of idempotency keys.
#include "ledger/work_ledger.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::ledger;

namespace {

const wall_time wall_start{seconds{1'700'000'000}};

clock_reading at(seconds elapsed) {
    return {time_point{seconds{1'000}} + elapsed, wall_start + elapsed};
}

submitted_work make_work(const std::string& request, seconds created, const std::string& key = {}) {
    static random_source random{1};
    submitted_work work;
    work.id.request = request;
    work.expires_at = at(created).steady + seconds{10};
    work.key_id = key.empty() ? std::string{} : make_uuid7(wall_start + created, random);
    work.key = work.key_id;
    work.body_hash = 1;
    return work;
}

error refusal() {
    return make_error(error_kind::over_limit, "full");
}

const error& error_in(const work_response& response) {
    return std::get<error>(std::get<settled>(response).result);
}

outcome answer_with(std::string body) {
    return answer{"application/json", std::move(body), {}};
}

std::string body_in(const work_response& response) {
    return std::get<answer>(std::get<settled>(response).result).body;
}

} // namespace

TEST_CASE("work is admitted once, and a repeated submission gets the outcome of the first") {
    work_ledger ledger{{}, wall_start};
    const auto work = make_work("r", seconds{5});
    REQUIRE(std::holds_alternative<admitted>(ledger.submit(work, at(seconds{5}))));
    REQUIRE(std::get<in_progress>(ledger.submit(work, at(seconds{5}))).first == work.id);
    REQUIRE(ledger.start(work.id));
    REQUIRE_FALSE(ledger.start(work.id));
    ledger.finish(work.id, answer_with("1"), at(seconds{6}));
    REQUIRE(body_in(ledger.submit(work, at(seconds{6}))) == "1");
    REQUIRE(body_in(ledger.query(work.id, at(seconds{6}))) == "1");
}

TEST_CASE("a refusal is final, and running work cannot be refused") {
    work_ledger ledger{{}, wall_start};
    const auto refused = make_work("r", seconds{5});
    ledger.submit(refused, at(seconds{5}));
    REQUIRE(error_in(ledger.refuse(refused.id, refusal(), at(seconds{5}))).ran == work_ran::no);
    REQUIRE_FALSE(ledger.start(refused.id));
    REQUIRE(error_in(ledger.submit(refused, at(seconds{6}))).kind == error_kind::over_limit);
    const auto running = make_work("s", seconds{5});
    ledger.submit(running, at(seconds{5}));
    ledger.start(running.id);
    REQUIRE(
        std::holds_alternative<in_progress>(ledger.refuse(running.id, refusal(), at(seconds{5}))));
}

TEST_CASE("querying work that was never received records that it will not run") {
    work_ledger ledger{{}, wall_start};
    const auto work = make_work("r", seconds{5});
    REQUIRE(error_in(ledger.query(work.id, at(seconds{5}))).kind == error_kind::not_run);
    REQUIRE(error_in(ledger.submit(work, at(seconds{5}))).kind == error_kind::not_run);
    REQUIRE_FALSE(ledger.start(work.id));
}

TEST_CASE("an acknowledgement drops the answer but not the identity") {
    work_ledger ledger{{}, wall_start};
    const auto work = make_work("r", seconds{5});
    ledger.submit(work, at(seconds{5}));
    ledger.start(work.id);
    ledger.finish(work.id, answer_with("1"), at(seconds{5}));
    ledger.acknowledge(work.id);
    REQUIRE(ledger.sizes().answer_bytes == 0);
    REQUIRE(error_in(ledger.submit(work, at(seconds{6}))).ran == work_ran::yes);
}

TEST_CASE("the size of stored answers is bounded") {
    ledger_policy policy;
    policy.max_answer_bytes = 25;
    work_ledger ledger{policy, wall_start};
    for (const auto* name : {"a", "b", "c"}) {
        const auto work = make_work(name, seconds{5});
        ledger.submit(work, at(seconds{5}));
        ledger.start(work.id);
        ledger.finish(work.id, answer_with(std::string(10, 'x')), at(seconds{5}));
    }
    REQUIRE(ledger.sizes().answer_bytes == 20);
    REQUIRE(ledger.sizes().answers_dropped == 1);
    REQUIRE(error_in(ledger.query({"a", 0, 0}, at(seconds{5}))).ran == work_ran::yes);
}

TEST_CASE("a full ledger refuses new work") {
    ledger_policy policy;
    policy.max_entries = 1;
    work_ledger ledger{policy, wall_start};
    ledger.submit(make_work("a", seconds{5}), at(seconds{5}));
    const auto refused = ledger.submit(make_work("b", seconds{5}), at(seconds{5}));
    REQUIRE(error_in(refused).kind == error_kind::over_limit);
}

TEST_CASE("evicted work is reported as unknown, not as not run") {
    random_source random{2};
    work_ledger ledger{{}, wall_start};
    const auto request = make_uuid7(wall_start + seconds{5}, random);
    const auto work = make_work(request, seconds{5});
    ledger.submit(work, at(seconds{5}));
    ledger.start(work.id);
    ledger.finish(work.id, answer_with("1"), at(seconds{5}));
    ledger.evict_expired(at(seconds{200}));
    REQUIRE(ledger.sizes().identities == 0);
    REQUIRE(error_in(ledger.query(work.id, at(seconds{200}))).ran == work_ran::unknown);
    REQUIRE(error_in(ledger.submit(work, at(seconds{200}))).ran == work_ran::unknown);
    const auto newer = make_work(make_uuid7(wall_start + seconds{190}, random), seconds{190});
    REQUIRE(std::holds_alternative<admitted>(ledger.submit(newer, at(seconds{200}))));
}

TEST_CASE("work in progress is not evicted") {
    work_ledger ledger{{}, wall_start};
    const auto work = make_work("r", seconds{5});
    ledger.submit(work, at(seconds{5}));
    ledger.start(work.id);
    ledger.evict_expired(at(seconds{500}));
    REQUIRE(ledger.state_of(work.id) == work_state::running);
    ledger.finish(work.id, answer_with("1"), at(seconds{500}));
    ledger.evict_expired(at(seconds{900}));
    REQUIRE(ledger.sizes().identities == 0);
}

TEST_CASE("a key runs once: retries wait, get the stored answer, or conflict") {
    work_ledger ledger{{}, wall_start};
    const auto first = make_work("r1", seconds{5}, "key");
    REQUIRE(std::holds_alternative<admitted>(ledger.submit(first, at(seconds{5}))));
    auto retry = first;
    retry.id.request = "r2";
    REQUIRE(std::get<in_progress>(ledger.submit(retry, at(seconds{6}))).first == first.id);
    REQUIRE_FALSE(ledger.start(retry.id));
    auto other = first;
    other.id.request = "r3";
    other.body_hash = 2;
    REQUIRE(error_in(ledger.submit(other, at(seconds{6}))).kind == error_kind::conflict);
    ledger.start(first.id);
    ledger.finish(first.id, answer_with("1"), at(seconds{7}));
    ledger.acknowledge(first.id);
    retry.id.request = "r4";
    REQUIRE(body_in(ledger.submit(retry, at(seconds{600}))) == "1");
    REQUIRE(body_in(ledger.query({"r2", 0, 0}, at(seconds{8}))) == "1");
}

TEST_CASE("a key whose work did not run may be used again") {
    work_ledger ledger{{}, wall_start};
    const auto first = make_work("r1", seconds{5}, "key");
    ledger.submit(first, at(seconds{5}));
    ledger.refuse(first.id, refusal(), at(seconds{5}));
    auto retry = first;
    retry.id.request = "r2";
    REQUIRE(std::holds_alternative<admitted>(ledger.submit(retry, at(seconds{6}))));
    ledger.start(retry.id);
    ledger.finish(retry.id, make_error(error_kind::connect_failed, "gone"), at(seconds{6}));
    retry.id.request = "r3";
    REQUIRE(std::holds_alternative<admitted>(ledger.submit(retry, at(seconds{7}))));
}

TEST_CASE("keys older than the record, ahead of the clock or possibly used elsewhere do not run") {
    work_ledger ledger{{}, wall_start};
    const auto kind_of = [&](const submitted_work& work, seconds now) {
        return error_in(ledger.submit(work, at(now))).kind;
    };
    REQUIRE(kind_of(make_work("r1", seconds{-60}, "key"), seconds{5}) ==
            error_kind::outcome_unknown);
    REQUIRE(kind_of(make_work("r2", seconds{1}, "key"), seconds{5}) == error_kind::outcome_unknown);
    REQUIRE(kind_of(make_work("r3", seconds{60}, "key"), seconds{5}) == error_kind::bad_request);
    auto used_elsewhere = make_work("r4", seconds{5}, "key");
    used_elsewhere.key_exclusive = false;
    REQUIRE(kind_of(used_elsewhere, seconds{5}) == error_kind::outcome_unknown);
}

TEST_CASE("an evicted key cannot run again unless the age check is disabled") {
    for (const bool check_age : {true, false}) {
        ledger_policy policy;
        policy.keys.max_keys = 1;
        policy.keys.check_age = check_age;
        work_ledger ledger{policy, wall_start};
        const auto first = make_work("r1", seconds{5}, "key");
        ledger.submit(first, at(seconds{5}));
        ledger.submit(make_work("r2", seconds{6}, "key"), at(seconds{6}));
        auto retry = first;
        retry.id.request = "r3";
        const auto again = ledger.submit(retry, at(seconds{7}));
        REQUIRE(std::holds_alternative<admitted>(again) != check_age);
    }
}
