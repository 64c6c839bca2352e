#include "placement/dispatcher_history.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::placement;

namespace {

// Entries "a" to "d", of which "d" is small.
std::vector<candidate> make_fleet() {
    return {{"a", 1, 0, seconds{60}, false},
            {"b", 1, 0, seconds{60}, false},
            {"c", 1, 0, seconds{60}, false},
            {"d", 0.1, 0, seconds{60}, false}};
}

// Why the dispatcher changes from "a" to "b" as the candidates change.
std::optional<change_reason> reason_of(const std::vector<candidate>& before,
                                       const std::vector<candidate>& after,
                                       const std::vector<std::string>& alive) {
    dispatcher_history history;
    CHECK_FALSE(history.update("embed", "a", before, alive));
    const auto change = history.update("embed", "b", after, alive);
    CHECK_FALSE(history.update("embed", "b", after, alive)); // told once
    return change ? std::optional{change->reason} : std::nullopt;
}

} // namespace

// Guards against log lines that lead operators to the wrong entry.
TEST_CASE("a change of the dispatcher has the reason that made it change") {
    const std::vector<std::string> all{"a", "b", "c", "d"};
    const auto fleet = make_fleet();
    const auto changed = [&](std::size_t which, const auto& change) {
        auto other = fleet;
        change(other[which]);
        return other;
    };
    const auto without = [&](std::size_t which) {
        auto other = fleet;
        other.erase(other.begin() + static_cast<std::ptrdiff_t>(which));
        return other;
    };
    const auto late = [](auto& one) { one.late = true; };
    const auto started = [](auto& one) { one.serving_for = milliseconds{50}; };
    CHECK(reason_of(fleet, without(0), {"b", "c", "d"}) == change_reason::left);
    CHECK(reason_of(fleet, without(0), all) == change_reason::draining);
    CHECK(reason_of(fleet, changed(0, started), all) == change_reason::left);
    CHECK(reason_of(fleet, changed(0, late), all) == change_reason::late);
    CHECK(reason_of(changed(1, late), fleet, all) == change_reason::recovered);
    CHECK(reason_of(without(1), fleet, all) == change_reason::joined);
    CHECK(reason_of(changed(1, started), fleet, all) == change_reason::joined);
    CHECK(reason_of(fleet, changed(1, [](auto& one) { one.processors = 4; }), all) ==
          change_reason::capacity);
    // The dispatcher of another service changed first, and "b" became free or "a" was taken.
    CHECK(reason_of(fleet, changed(2, late), all) == change_reason::late);
    CHECK(reason_of(fleet, without(2), {"a", "b", "d"}) == change_reason::left);
}

// Guards against hand-overs in deployments of equal machines, and against a change that goes
// unnoticed because the remaining machines are equal.
TEST_CASE("changes are told unless the fleet was uniform and is") {
    const std::vector<candidate> equal{{"a", 1, 0, seconds{60}, false},
                                       {"b", 1, 0, seconds{60}, false}};
    CHECK_FALSE(reason_of(equal, {equal.back()}, {"b"}));
    CHECK(reason_of(make_fleet(), {equal.back()}, {"b"}) == change_reason::left);
}
