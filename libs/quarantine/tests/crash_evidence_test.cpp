#include "quarantine/crash_evidence.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace boragefront;
using namespace boragefront::quarantine;

namespace {

const time_point start{seconds{1'000}};

crash_record make_crash(std::uint64_t engine, milliseconds at, bool response_begun = true) {
    return {engine, start + at, start + at - milliseconds{100}, response_begun, false};
}

} // namespace

TEST_CASE("crashes with a begun response count more than those of bystanders") {
    crash_evidence evidence;
    evidence.add(make_crash(1, milliseconds{0}));
    evidence.add(make_crash(2, milliseconds{300}, false));
    CHECK(evidence.weight() == cause_weight + bystander_weight);
}

// All endpoints of a data centre that lost power had requests with the common parts.
TEST_CASE("crashes at the same time count once") {
    const bool response_begun = GENERATE(true, false);
    crash_evidence evidence;
    for (std::uint64_t engine = 0; engine < 8; ++engine) {
        evidence.add(make_crash(engine, milliseconds{10} * engine, response_begun));
    }
    CHECK(evidence.weight() == (response_begun ? cause_weight : bystander_weight));
}

TEST_CASE("a response clears the crashes before it") {
    crash_evidence evidence;
    evidence.add(make_crash(1, milliseconds{0}));
    evidence.add(make_crash(2, milliseconds{500}));
    CHECK(evidence.clear_before(start + milliseconds{400}));
    CHECK(evidence.weight() == cause_weight);
    CHECK(*evidence.first_crash_at() == start + milliseconds{500});
    CHECK_FALSE(evidence.clear_before(start + milliseconds{400}));
}

TEST_CASE("evidence merges to the same state in any order, and cleared records stay cleared") {
    const auto seed = GENERATE(range(1U, 20U));
    INFO("seed " << seed);
    std::mt19937_64 random{seed};
    std::vector<crash_record> records;
    for (std::uint64_t i = 0; i < 12; ++i) {
        auto record = make_crash(i % 6, milliseconds{200} * (i % 6), random() % 2 == 0);
        record.cleared = random() % 4 == 0;
        records.push_back(record);
    }
    crash_evidence one;
    crash_evidence other;
    for (const auto& record : records) {
        one.add(record);
    }
    std::shuffle(records.begin(), records.end(), random);
    for (const auto& record : records) {
        other.add(record);
    }
    CHECK(one.weight() == other.weight());
    for (const auto& record : one.records()) {
        CHECK_FALSE(other.add(record));
    }
}

TEST_CASE("the number of records is bounded, the latest ones are kept") {
    crash_evidence evidence;
    for (std::uint64_t i = 0; i < 100; ++i) {
        evidence.add(make_crash(i, milliseconds{200} * i));
    }
    CHECK(evidence.records().size() == 16);
    CHECK(evidence.records().back().engine == 99);
    evidence.purge(start + seconds{700});
    CHECK(evidence.empty());
}
