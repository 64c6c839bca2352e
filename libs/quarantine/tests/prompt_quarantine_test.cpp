#include "quarantine/observed_response.hpp"
#include "quarantine/prompt_quarantine.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>

using namespace boragefront;
using namespace boragefront::quarantine;

namespace {

const time_point start{seconds{1'000}};

struct quarantine_fixture {
    quarantine_fixture() {
        set_entries(quarantine);
        set_entries(other);
    }
    static void set_entries(prompt_quarantine& one) { one.set_entries({"entry-1", "entry-2"}); }

    // A request that was sent 100 ms ago takes a new engine down.
    void crash(const std::vector<std::string>& parts, bool response_begun = true) {
        quarantine.record_lost({"engine-" + std::to_string(++engines), 1, parts,
                                now - milliseconds{100}, response_begun},
                               now);
    }
    // As `crash`, 30 ms after the first content of the response, of which more had arrived.
    void crash_after_content(const std::vector<std::string>& parts) {
        quarantine.record_lost({"engine-" + std::to_string(++engines), 1, parts,
                                now - milliseconds{100}, false, now - milliseconds{30}},
                               now);
    }
    void advance(milliseconds time) { now += time; }
    void respond(const std::vector<std::string>& parts, int times = 1) {
        for (int i = 0; i < times; ++i) {
            advance(milliseconds{10});
            quarantine.record_sound(parts, now);
        }
    }
    // Crashes at which "deadly" recurs, while requests without it are answered.
    void quarantine_deadly() {
        for (int i = 0; i < 3; ++i) {
            crash({"common", "deadly"});
            advance(milliseconds{300});
            respond({"common"}, 5);
        }
    }
    bool refuses(const std::vector<std::string>& parts) const {
        return quarantine.refused_for(parts, now).has_value();
    }

    time_point now{start};
    int engines{0};
    prompt_quarantine quarantine{prompt_quarantine::make("entry-1")};
    prompt_quarantine other{prompt_quarantine::make("entry-2")};
};

} // namespace

TEST_CASE_METHOD(quarantine_fixture,
                 "a part that recurs at crashes and is never answered is refused") {
    crash({"common", "deadly"});
    advance(milliseconds{300});
    crash({"common", "deadly"});
    respond({"common"}, 5);
    CHECK_FALSE(refuses({"common", "deadly"}));
    CHECK_FALSE(quarantine.may_repeat({"common", "deadly"}));
    advance(milliseconds{300});
    crash({"common", "deadly"});
    CHECK(refuses({"common", "deadly"}));
    CHECK(refuses({"deadly"}));
    respond({"common"});
    CHECK_FALSE(refuses({"common", "other"}));
    CHECK(quarantine.may_repeat({"common", "other"}));
}

// Crashes after the first event were no evidence, so the part crashed engines without end.
TEST_CASE_METHOD(quarantine_fixture,
                 "a part that recurs at crashes early in the response is refused from the sixth") {
    for (int i = 0; i < 6; ++i) {
        CHECK_FALSE(refuses({"common", "deadly"}));
        crash_after_content({"common", "deadly"});
        advance(milliseconds{300});
        respond({"common"}, 5);
    }
    CHECK(refuses({"common", "deadly"}));
    CHECK_FALSE(refuses({"common", "other"}));
    CHECK_FALSE(quarantine.may_repeat({"common", "deadly"}));
}

// Long streams that an engine takes along began before the crash that precedes its own.
TEST_CASE_METHOD(quarantine_fixture,
                 "long streams that are lost in crash after crash put no part in quarantine") {
    const auto content_at = now;
    for (int i = 0; i < 20; ++i) {
        quarantine.record_lost(
            {"engine-" + std::to_string(++engines), 1, {"rare"}, now, false, content_at}, now);
        advance(milliseconds{400});
        respond({"common"}, 5);
    }
    CHECK_FALSE(refuses({"rare"}));
}

TEST_CASE_METHOD(quarantine_fixture, "the first part may be the one that is refused") {
    for (int i = 0; i < 3; ++i) {
        crash({"deadly", "subject-" + std::to_string(i)});
        advance(milliseconds{300});
        respond({"common", "subject-" + std::to_string(i)}, 3);
    }
    CHECK(refuses({"deadly", "subject-9"}));
    CHECK_FALSE(refuses({"common", "subject-1"}));
}

// Without a response of any kind, an outage would take all common parts out of service.
TEST_CASE_METHOD(quarantine_fixture, "in an outage no part is refused") {
    for (int i = 0; i < 20; ++i) {
        crash({"common", "rare"}, i % 2 == 0);
        advance(milliseconds{400});
    }
    CHECK_FALSE(refuses({"common", "rare"}));
}

TEST_CASE_METHOD(quarantine_fixture,
                 "an engine that still responds has broken off a connection, and not crashed") {
    const bool sent_before = GENERATE(true, false);
    std::vector<time_point> crashed_at;
    for (int i = 0; i < 6; ++i) {
        crashed_at.push_back(now);
        crash({"common", "rare"});
        advance(milliseconds{200});
        respond({"common"}, 5);
    }
    CHECK(refuses({"common", "rare"}));
    advance(seconds{4});
    for (int i = 0; i < 6; ++i) {
        const auto sent_at = sent_before ? crashed_at[static_cast<std::size_t>(i)] - seconds{1}
                                         : now - milliseconds{100};
        quarantine.record_alive("engine-" + std::to_string(i + 1), 1, sent_at, now);
    }
    CHECK_FALSE(refuses({"common", "rare"}));
}

// Engines with similar ids and incarnations were taken for each other.
TEST_CASE_METHOD(quarantine_fixture, "a sign of life of another incarnation refutes no crash") {
    for (int i = 0; i < 3; ++i) {
        crash({"common", "deadly"});
        advance(milliseconds{300});
        respond({"common"}, 5);
    }
    advance(seconds{4});
    for (int engine = 1; engine <= 9; ++engine) {
        for (std::uint64_t incarnation = 2; incarnation <= 9; ++incarnation) {
            CHECK_FALSE(quarantine.record_alive("engine-" + std::to_string(engine), incarnation,
                                                now - milliseconds{1}, now));
        }
    }
    CHECK(refuses({"common", "deadly"}));
}

// An engine that is back at once answers under an incarnation that this entry does not know yet.
TEST_CASE_METHOD(quarantine_fixture, "an engine that has restarted at once has crashed") {
    for (int i = 0; i < 3; ++i) {
        crash({"common", "deadly"});
        advance(milliseconds{300});
        quarantine.record_alive("engine-" + std::to_string(engines), 1, now - milliseconds{50},
                                now);
        respond({"common"}, 5);
    }
    CHECK(refuses({"common", "deadly"}));
}

TEST_CASE_METHOD(quarantine_fixture, "a part that is always beside the cause is excused") {
    for (int i = 0; i < 3; ++i) {
        crash({"deadly", "subject"});
        advance(milliseconds{300});
        respond({"common"}, 5);
    }
    CHECK(refuses({"deadly", "subject"}));
    CHECK_FALSE(refuses({"subject", "another"}));
    respond({"subject", "another"});
    CHECK(refuses({"deadly", "subject"}));
    CHECK(refuses({"deadly", "another"}));
}

TEST_CASE_METHOD(quarantine_fixture, "an entry learns of a part from another one") {
    quarantine_deadly();
    for (int i = 0; i < 5; ++i) {
        other.record_sound({"common"}, now);
    }
    CHECK(other.merge(quarantine.report(), now));
    CHECK_FALSE(other.merge(quarantine.report(), now + seconds{1}));
    CHECK(other.refused_for({"deadly"}, now));
    // And of its release.
    CHECK(other.record_sound({"deadly"}, now + milliseconds{1}));
    CHECK(quarantine.merge(other.report(), now + milliseconds{2}));
    CHECK_FALSE(refuses({"deadly"}));
}

TEST_CASE_METHOD(quarantine_fixture, "a part that was answered elsewhere is not suspected again") {
    for (int i = 0; i < 5; ++i) {
        other.record_sound({"common"}, start + seconds{9});
    }
    other.record_sound({"deadly"}, start + seconds{9});
    quarantine_deadly();
    CHECK(refuses({"deadly"}));
    other.merge(quarantine.report(), now);
    CHECK_FALSE(other.refused_for({"deadly"}, now));
    quarantine.merge(other.report(), now);
    CHECK_FALSE(refuses({"deadly"}));
}

// A part that is sound again must come back, and one that is not must not be tried often.
TEST_CASE_METHOD(quarantine_fixture, "a part is tried again by one entry, at growing intervals") {
    quarantine_deadly();
    respond({"common"}, 5);
    for (int i = 0; i < 5; ++i) {
        other.record_sound({"common"}, now);
    }
    other.merge(quarantine.report(), now);
    int retries = 0;
    const auto until = now + seconds{100};
    for (; now < until; advance(milliseconds{100})) {
        for (auto* const one : {&quarantine, &other}) {
            if (!one->begin({"common", "deadly"}, now)) {
                ++retries;
                one->record_lost({"engine-" + std::to_string(++engines), 1, {"deadly"}, now, true},
                                 now + milliseconds{50});
                quarantine.merge(other.report(), now);
                other.merge(quarantine.report(), now);
            }
        }
    }
    CHECK(retries >= 2);
    CHECK(retries <= 3);
    advance(seconds{300});
    // The first content of the trial's response is no proof yet.
    observed_response trial;
    trial.record_head();
    CHECK_FALSE(trial.record_content(now));
    auto& retrier = quarantine.begin({"deadly"}, now) ? other : quarantine;
    CHECK(retrier.record_sound({"deadly"}, now));
    CHECK_FALSE(retrier.refused_for({"deadly"}, now));
}

TEST_CASE_METHOD(quarantine_fixture, "memory is bounded when all parts are different") {
    for (int i = 0; i < 5'000; ++i) {
        crash({"part-" + std::to_string(i), "other-" + std::to_string(i)});
        advance(milliseconds{5});
    }
    CHECK(quarantine.suspect_count() <= 256);
    CHECK(quarantine.report().size() <= 16);
}

namespace {

// A fleet on a virtual clock: requests of many subjects, of which some may have a part that crashes
// each engine which begins to answer.
struct fleet_outcome {
    int crashes{0};
    int deadly_sent_late{0}; // more than 3 s after the fifth crash
    int sound{0};
    int sound_refused{0};
};

struct fleet_setup {
    std::size_t entries{3};
    int engines{12};
    double deadly_share{0.05};
    double per_second{25}; // requests, of the fleet
    bool first_part_deadly{false};
    // What has arrived of a response at the crash.
    response_progress crash_at{response_progress::head};
    milliseconds stream_time{0};   // of sound responses, from their first content to their end
    milliseconds other_crashes{0}; // interval of crashes with another cause; 0: none
};

fleet_outcome run_fleet(const fleet_setup& setup, unsigned seed) {
    std::mt19937_64 random{seed};
    const auto chance = [&](double probability) {
        return std::uniform_real_distribution<double>{0, 1}(random) < probability;
    };
    struct open_request {
        std::size_t entry;
        int engine;
        std::vector<std::string> parts;
        bool deadly;
        time_point sent_at;
        time_point begins_at;
        observed_response response{};
        time_point next_event{};
        time_point ends_at{time_point::max()};
    };
    constexpr milliseconds event_interval{50};
    const milliseconds crash_after =
        setup.crash_at == response_progress::content         ? event_interval * 3 + milliseconds{30}
        : setup.crash_at == response_progress::first_content ? milliseconds{30}
                                                             : milliseconds{0};
    std::vector<std::string> names;
    for (std::size_t i = 0; i < setup.entries; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    std::vector<prompt_quarantine> entries;
    for (const auto& name : names) {
        entries.push_back(prompt_quarantine::make(name));
        entries.back().set_entries(names);
    }
    std::vector<time_point> back_at(static_cast<std::size_t>(setup.engines), start);
    std::vector<std::uint64_t> lives(back_at.size(), 1);
    std::vector<open_request> open;
    fleet_outcome outcome;
    std::optional<time_point> fifth_crash;
    auto next_other_crash = start + setup.other_crashes;
    const auto crash = [&](int engine, const open_request* cause, time_point now) {
        if (++outcome.crashes == 5) {
            fifth_crash = now;
        }
        for (const auto& request : open) {
            if (request.engine == engine && !request.response.is_sound()) {
                const auto progress = request.response.progress();
                const bool gone_on = progress == response_progress::content;
                const bool begun = progress == response_progress::first_content ||
                                   (&request == cause && setup.crash_at == response_progress::head);
                entries[request.entry].record_lost(
                    {"engine-" + std::to_string(engine), lives[static_cast<std::size_t>(engine)],
                     request.parts, request.sent_at, begun,
                     gone_on ? request.response.content_at() : std::nullopt},
                    now);
            }
        }
        std::erase_if(open, [&](const auto& request) { return request.engine == engine; });
        back_at[static_cast<std::size_t>(engine)] = now + seconds{3};
        ++lives[static_cast<std::size_t>(engine)];
    };
    for (auto now = start; now < start + seconds{40}; now += milliseconds{10}) {
        if (chance(setup.per_second / 100)) {
            open_request request{
                random() % setup.entries,   0,   {},
                chance(setup.deadly_share), now, now + milliseconds{100 + random() % 200}};
            const auto subject = "subject-" + std::to_string(random() % 40);
            request.parts = {"common", subject};
            if (request.deadly) {
                request.parts.insert(setup.first_part_deadly ? request.parts.begin()
                                                             : request.parts.end(),
                                     "deadly");
            }
            outcome.sound += request.deadly ? 0 : 1;
            if (entries[request.entry].begin(request.parts, now)) {
                outcome.sound_refused += request.deadly ? 0 : 1;
            } else {
                for (int tries = 0; tries < 50; ++tries) {
                    request.engine = static_cast<int>(random() % back_at.size());
                    if (back_at[static_cast<std::size_t>(request.engine)] <= now) {
                        const bool late = fifth_crash && now > *fifth_crash + seconds{3};
                        outcome.deadly_sent_late += request.deadly && late ? 1 : 0;
                        open.push_back(request);
                        break;
                    }
                }
            }
        }
        for (auto& request : open) {
            if (now < std::max(request.begins_at, request.next_event)) {
                continue;
            }
            if (!request.response.content_at()) {
                request.ends_at = now + (request.deadly ? crash_after : setup.stream_time);
            }
            request.next_event = now + event_interval;
            const bool has_content =
                !request.deadly || setup.crash_at >= response_progress::first_content;
            if (has_content && request.response.record_content(now)) {
                entries[request.entry].record_sound(request.parts, now);
            }
        }
        for (;;) {
            const auto due = std::find_if(open.begin(), open.end(), [&](const auto& request) {
                return request.ends_at <= now;
            });
            if (due == open.end()) {
                break;
            }
            if (due->deadly) {
                crash(due->engine, &*due, now);
            } else {
                entries[due->entry].record_sound(due->parts, now);
                open.erase(due);
            }
        }
        if (setup.other_crashes > milliseconds{0} && now >= next_other_crash) {
            next_other_crash += setup.other_crashes;
            crash(static_cast<int>(random() % back_at.size()), nullptr, now);
        }
        if ((now - start) % milliseconds{300} == duration{0}) {
            for (auto& entry : entries) {
                const auto& peer = entries[random() % entries.size()];
                if (&entry != &peer) {
                    entry.merge(peer.report(), now);
                }
            }
        }
    }
    return outcome;
}

} // namespace

// Requests with one part crashed engine after engine, and took the sound requests at them along.
// Three may still come after that, and sound requests are to notice nothing.
TEST_CASE("a fleet stops sending a part that crashes engines") {
    const auto seed = GENERATE(range(1U, 40U));
    fleet_setup setup;
    setup.first_part_deadly = seed % 2 == 0;
    setup.entries = seed % 3 == 0 ? 12 : 3;
    INFO("seed " << seed);
    const auto outcome = run_fleet(setup, seed);
    CHECK(outcome.deadly_sent_late <= 3);
    CHECK(outcome.sound_refused * 100 <= outcome.sound);
}

// The head of a response may be lost with its connection.
TEST_CASE("a fleet tells the part also if no head of a response arrives") {
    const auto seed = GENERATE(range(1U, 40U));
    fleet_setup setup;
    setup.crash_at = response_progress::none;
    INFO("seed " << seed);
    const auto outcome = run_fleet(setup, seed);
    CHECK(outcome.deadly_sent_late <= 3);
    CHECK(outcome.sound_refused * 100 <= outcome.sound);
}

// Engines that crashed after the first event were never put down to the part. Long streams are lost
// with each of them, and sound requests with the same first part are to notice nothing.
TEST_CASE("a fleet tells the part also if content of the response arrives") {
    const auto seed = GENERATE(range(1U, 40U));
    fleet_setup setup;
    setup.crash_at = GENERATE(response_progress::first_content, response_progress::content);
    setup.stream_time = seed % 2 == 0 ? seconds{8} : milliseconds{200};
    setup.first_part_deadly = seed % 4 < 2;
    setup.entries = seed % 3 == 0 ? 12 : 3;
    INFO("seed " << seed);
    const auto outcome = run_fleet(setup, seed);
    CHECK(outcome.crashes > 0);
    CHECK(outcome.deadly_sent_late <= 3);
    CHECK(outcome.sound_refused * 100 <= outcome.sound);
}

// A rolling restart without a grace period, in which most streams are lost.
TEST_CASE("long streams that engines lose one after the other put no part in quarantine") {
    const auto seed = GENERATE(range(1U, 40U));
    fleet_setup setup;
    setup.deadly_share = 0;
    setup.stream_time = seconds{8};
    setup.other_crashes = milliseconds{400 + 200 * (seed % 4)};
    setup.engines = seed % 2 == 0 ? 12 : 40;
    INFO("seed " << seed);
    const auto outcome = run_fleet(setup, seed);
    CHECK(outcome.sound_refused == 0);
}

TEST_CASE("crashes with another cause put no part in quarantine") {
    const auto seed = GENERATE(range(1U, 40U));
    fleet_setup setup;
    setup.deadly_share = 0;
    setup.other_crashes = milliseconds{400};
    INFO("seed " << seed);
    const auto outcome = run_fleet(setup, seed);
    CHECK(outcome.sound_refused == 0);
}
