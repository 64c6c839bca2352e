#include "continuation/version_history.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::continuation;

namespace {

const time_point start{seconds{1'000}};
const service_key model = make_service_key("model");
const version_key first = make_version_key("v1");
const version_key second = make_version_key("v2");

service_listing serving(std::set<version_key> versions, time_point last_start = start) {
    return {{model, {std::move(versions), last_start}}};
}

} // namespace

TEST_CASE("an absent version differs from every version") {
    CHECK(make_version_key("") == version_key::unknown);
    CHECK_FALSE(is_same_version(version_key::unknown, version_key::unknown));
    CHECK(is_same_version(first, make_version_key("v1")));
    CHECK_FALSE(is_same_version(first, second));
}

// Guards against streams that are joined at an entry that has just started, when the version that
// began them had left a moment before.
TEST_CASE("an entry that has just started does not know that a version is the only one",
          "[invariant]") {
    version_history history;
    CHECK_FALSE(history.sole_version(model, start));
    history.observe(serving({second}), start);
    CHECK_FALSE(history.sole_version(model, start - milliseconds{1}));
    CHECK(history.sole_version(model, start) == second);
}

// Guards against streams that are lost although their service has not changed, when all entries
// have started anew.
TEST_CASE("endpoints of one version that started long ago were not preceded by another version") {
    version_history history;
    history.observe(serving({first}, start - seconds{40}), start);
    CHECK_FALSE(history.sole_version(model, start - seconds{1}));
    history.assume_unchanged({{model, first}}, start);
    CHECK_FALSE(history.covers(start - seconds{1}));
    CHECK(history.sole_version(model, start - seconds{40} + replacement_time) == first);
    CHECK_FALSE(history.sole_version(model, start - seconds{40}));

    version_report report{seconds{60}, {{{model, second}, seconds{10}}}};
    history.merge(report, start); // from another entry, which has seen the second version
    CHECK_FALSE(history.sole_version(model, start - seconds{20}));
    CHECK(history.sole_version(model, start - seconds{5}) == first);
}

// Guards against streams that are joined because the version that left was not replaced.
TEST_CASE("a version in the store's history counts as one that has just left", "[invariant]") {
    version_history history;
    history.observe(serving({first}, start - seconds{40}), start);
    history.assume_unchanged({{model, first}, {model, second}}, start);
    CHECK_FALSE(history.sole_version(model, start - seconds{20}));
    CHECK_FALSE(history.sole_version(model, start));
    CHECK(history.sole_version(model, start + milliseconds{1}) == first);
}

TEST_CASE("a version counts for as long as a stream that it began may last", "[invariant]") {
    version_history history;
    history.observe(serving({first}), start);
    history.observe(serving({first, second}), start + seconds{10});
    history.observe(serving({second}), start + seconds{20});
    CHECK_FALSE(history.sole_version(model, start + seconds{15}));
    CHECK_FALSE(history.sole_version(model, start + seconds{20}));
    CHECK(history.sole_version(model, start + seconds{20} + milliseconds{1}) == second);
}

TEST_CASE("an endpoint without a version leaves its service without a sole version") {
    version_history history;
    history.observe(serving({first, version_key::unknown}), start);
    CHECK_FALSE(history.sole_version(model, start));
    history.observe(serving({version_key::unknown}), start + seconds{1});
    CHECK_FALSE(history.sole_version(model, start + seconds{2}));
    CHECK_FALSE(history.sole_version(make_service_key("other"), start + seconds{2}));
}

TEST_CASE("an entry that has started learns from another which versions there were") {
    version_history old;
    old.observe(serving({first}), start);
    old.observe(serving({second}), start + seconds{30});
    version_history restarted;
    const auto now = start + seconds{40};
    restarted.merge(old.report(now), now);
    CHECK_FALSE(restarted.covers(now)); // not before it has a list of its own
    restarted.observe(serving({second}), now);
    restarted.merge(old.report(now), now);
    CHECK(restarted.covers(start));
    CHECK(restarted.sole_version(model, start + seconds{31}) == second);
    CHECK_FALSE(restarted.sole_version(model, start + seconds{30}));
}

TEST_CASE("reports cover a bounded time") {
    version_history history;
    history.observe(serving({first}), start);
    history.observe(serving({second}), start + seconds{1});
    const auto report = history.report(start + seconds{100});
    CHECK(report.covered == version_history_time);
    CHECK(report.sightings.size() == 1);
    CHECK(version_history{}.report(start).covered == milliseconds{0});
}
