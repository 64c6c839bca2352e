/// \file
/// Single decisions of the scheduler and of the history of homes.
#include "home_history.hpp"
#include "work_scheduler.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::sidecar;

namespace {

constexpr incarnation life = 7;
constexpr time_point start{seconds{1'000}};

clock_reading at(duration passed) {
    return {start + passed, wall_time{seconds{1'700'000'000}}};
}

// A scheduler whose endpoint is known and warm.
class fixture {
public:
    explicit fixture(scheduler_policy policy = {}) : scheduler{with_limits(policy), life, at({})} {
        scheduler.set_phase(service_phase::serving, at({}));
        for (int i = 0; i < 30; ++i) {
            now += milliseconds{100};
            scheduler.tick(at(now));
            report(0);
        }
    }

    static scheduler_policy with_limits(scheduler_policy policy) {
        policy.limits = {2, 8};
        policy.ramp = {2, 2, 4.0};
        return policy;
    }

    void report(std::size_t running, const std::string& instance = "a") {
        load_report load;
        load.answering = load.instance = instance;
        load.running = running;
        scheduler.on_load_report(load, at(now));
    }

    ledger::work_response offer(const std::string& name, config::lane lane = config::lane::normal,
                                milliseconds remaining = milliseconds{10'000}) {
        offered_work work;
        work.life = life;
        work.record.id.request = name;
        work.record.expires_at = start + now + remaining;
        work.lane = lane;
        work.workspace = "w";
        work.idempotent = true;
        return scheduler.offer(work, at(now));
    }

    std::string next() {
        const auto id = scheduler.next(at(now));
        return id ? id->request : std::string{};
    }

    void finish(const std::string& name, call_end how = call_end::answered) {
        const ledger::answer whole;
        scheduler.finish({name, 0, 0}, how, whole, at(now));
    }

    error_kind outcome(const std::string& name) const {
        return std::get<error>(*scheduler.outcome_of({name, 0, 0})).kind;
    }

    bool is_admitted(const ledger::work_response& told) const {
        return std::holds_alternative<ledger::admitted>(told);
    }

    duration now{};
    work_scheduler scheduler;
};

membership::instance_list list_of(const std::vector<std::string>& ids) {
    membership::instance_list list;
    for (const auto& id : ids) {
        membership::instance each;
        each.id = id;
        each.role = membership::instance_role::sidecar;
        each.pool = "orders";
        list.instances.push_back(each);
    }
    return list;
}

} // namespace

TEST_CASE("a slot is kept for urgent work where slots free themselves late") {
    for (const bool reserve : {true, false}) {
        for (const auto service_time : {milliseconds{100}, milliseconds{1}}) {
            scheduler_policy policy;
            policy.mechanisms.reserve_urgent = reserve;
            fixture sidecar{policy};
            sidecar.offer("u1", config::lane::urgent);
            REQUIRE(sidecar.next() == "u1");
            sidecar.now += service_time;
            sidecar.finish("u1");
            sidecar.offer("n1");
            sidecar.offer("n2");
            REQUIRE(sidecar.next() == "n1");
            const bool kept = reserve && service_time == milliseconds{100};
            REQUIRE(sidecar.next() == (kept ? "" : "n2"));
            sidecar.offer("u2", config::lane::urgent);
            REQUIRE(sidecar.next() == (kept ? "u2" : ""));
        }
    }
}

TEST_CASE("a slot is kept for urgent work while service times are unknown") {
    for (const bool reserve : {true, false}) {
        scheduler_policy policy;
        policy.mechanisms.reserve_urgent = reserve;
        fixture sidecar{policy};
        sidecar.offer("u1", config::lane::urgent);
        sidecar.offer("n1");
        REQUIRE(sidecar.next() == "u1");
        REQUIRE(sidecar.next() == (reserve ? "" : "n1"));
    }
}

TEST_CASE("what cannot finish in time is refused at once, but not at an idle endpoint") {
    for (const bool refuse : {true, false}) {
        scheduler_policy policy;
        policy.mechanisms.refuse_hopeless = refuse;
        fixture sidecar{policy};
        for (int i = 0; i < 10; ++i) {
            const auto name = "w" + std::to_string(i);
            sidecar.offer(name);
            REQUIRE(sidecar.next() == name);
            sidecar.now += milliseconds{100};
            sidecar.finish(name);
        }
        REQUIRE(sidecar.is_admitted(sidecar.offer("a", config::lane::normal, milliseconds{50})));
        REQUIRE(sidecar.next() == "a");
        sidecar.offer("b");
        REQUIRE(sidecar.next() == "b");
        sidecar.offer("c");
        const auto told = sidecar.offer("d", config::lane::normal, milliseconds{150});
        REQUIRE(sidecar.is_admitted(told) != refuse);
    }
}

TEST_CASE("a paused process sends nothing until it had time to catch up") {
    fixture sidecar;
    sidecar.offer("a");
    sidecar.now += milliseconds{3'000};
    REQUIRE(sidecar.next().empty());
    sidecar.now += milliseconds{499};
    REQUIRE(sidecar.next().empty());
    sidecar.now += milliseconds{2};
    REQUIRE(sidecar.next() == "a");
    REQUIRE(sidecar.scheduler.state(start + sidecar.now).pauses == 1);
}

TEST_CASE("work that expired while the process was paused is refused, not sent") {
    fixture sidecar;
    sidecar.offer("a", config::lane::normal, milliseconds{1'000});
    sidecar.now += milliseconds{1'200};
    REQUIRE(sidecar.next().empty());
    REQUIRE(sidecar.outcome("a") == error_kind::expired);
}

TEST_CASE("a deadline beyond all bounds is kept within them") {
    fixture sidecar;
    offered_work work;
    work.life = life;
    work.record.id.request = "a";
    work.record.expires_at = time_point::max();
    work.workspace = "w";
    REQUIRE(sidecar.is_admitted(sidecar.scheduler.offer(work, at(sidecar.now))));
    sidecar.scheduler.tick(at(sidecar.now));
    REQUIRE(sidecar.next() == "a");
    sidecar.finish("a");
    sidecar.now += seconds{1'300};
    sidecar.scheduler.tick(at(sidecar.now));
    REQUIRE(sidecar.scheduler.state(start + sidecar.now).ledger.identities == 0);
}

TEST_CASE("an endpoint or data centre that is out refuses also what waits") {
    fixture sidecar;
    sidecar.offer("a");
    sidecar.scheduler.set_phase(service_phase::out, at(sidecar.now));
    REQUIRE(sidecar.next().empty());
    REQUIRE(sidecar.outcome("a") == error_kind::shutting_down);
    REQUIRE(sidecar.scheduler.take_settled().size() == 1);
    sidecar.offer("b");
    REQUIRE(sidecar.outcome("b") == error_kind::shutting_down);
}

TEST_CASE("a draining sidecar refuses new work and serves its queue for a while") {
    fixture sidecar;
    for (const auto* name : {"a", "b", "c", "d"}) {
        sidecar.offer(name);
    }
    REQUIRE(sidecar.next() == "a");
    REQUIRE(sidecar.next() == "b");
    sidecar.scheduler.set_phase(service_phase::draining, at(sidecar.now));
    sidecar.offer("e");
    REQUIRE(sidecar.outcome("e") == error_kind::shutting_down);
    sidecar.finish("a");
    REQUIRE(sidecar.next() == "c");
    sidecar.now += milliseconds{1'000};
    sidecar.finish("b");
    REQUIRE(sidecar.next().empty());
    REQUIRE(sidecar.outcome("d") == error_kind::shutting_down);
}

TEST_CASE("a call given up at its deadline keeps its slot until reports show it free") {
    fixture sidecar;
    sidecar.offer("a");
    sidecar.offer("b");
    sidecar.offer("c");
    REQUIRE(sidecar.next() == "a");
    REQUIRE(sidecar.next() == "b");
    sidecar.finish("a", call_end::timed_out);
    REQUIRE(sidecar.next().empty());
    for (int i = 0; i < 30 && sidecar.next().empty(); ++i) {
        sidecar.now += milliseconds{100};
        sidecar.report(2);
        REQUIRE(sidecar.scheduler.running() == 1);
    }
    REQUIRE(sidecar.next().empty());
    for (int i = 0; i < 3; ++i) {
        sidecar.report(1);
    }
    REQUIRE(sidecar.next() == "c");
}

TEST_CASE("an endpoint not heard from is taken to be cold, then unreachable") {
    scheduler_policy policy;
    fixture sidecar{policy};
    sidecar.scheduler.set_policy({2, 8}, {1, 1, 4.0});
    sidecar.offer("a");
    REQUIRE(sidecar.next() == "a");
    sidecar.finish("a");
    sidecar.now += milliseconds{600};
    sidecar.offer("b");
    sidecar.offer("c");
    REQUIRE(sidecar.next() == "b");
    REQUIRE(sidecar.next().empty());
    sidecar.scheduler.on_load_failure(true, at(sidecar.now));
    sidecar.offer("d");
    REQUIRE(sidecar.outcome("d") == error_kind::not_ready);
    sidecar.report(0);
    REQUIRE(sidecar.is_admitted(sidecar.offer("e")));
}

TEST_CASE("a limit learned after the start still covers a predecessor's work") {
    work_scheduler scheduler{{}, life, at({})};
    scheduler.set_phase(service_phase::serving, at({}));
    scheduler.set_policy({16, 64}, {4, 1, 4.0});
    load_report load;
    load.answering = load.instance = "a";
    load.running = 16;
    duration now{};
    for (int i = 0; i < 40; ++i) {
        now += milliseconds{50};
        scheduler.tick(at(now));
        scheduler.on_load_report(load, at(now));
    }
    REQUIRE(scheduler.state(start + now).held_by_abandoned == 16);
    REQUIRE(scheduler.phase(start + now) == service_phase::starting);
    load.running = 3;
    for (int i = 0; i < 6; ++i) {
        scheduler.on_load_report(load, at(now));
    }
    REQUIRE(scheduler.state(start + now).held_by_abandoned == 3);
    REQUIRE(scheduler.phase(start + now) == service_phase::serving);
}

TEST_CASE("a late report of an earlier life of the endpoint changes nothing") {
    fixture sidecar;
    sidecar.report(0, "b");
    const auto falls = sidecar.scheduler.state(start + sidecar.now).fall_backs;
    REQUIRE(falls.at("endpoint_restarted") == 1);
    sidecar.report(0, "a");
    sidecar.report(0, "b");
    REQUIRE(sidecar.scheduler.state(start + sidecar.now).fall_backs == falls);
}

TEST_CASE("a lost cache is a cold endpoint") {
    fixture sidecar;
    load_report load;
    load.answering = load.instance = "a";
    load.cached_prefixes = 10;
    sidecar.scheduler.on_load_report(load, at(sidecar.now));
    load.cached_prefixes = 1;
    sidecar.scheduler.on_load_report(load, at(sidecar.now));
    REQUIRE(sidecar.scheduler.state(start + sidecar.now).cold_cause == "cache_lost");
}

TEST_CASE("keys whose home moved here are vouched for only after the lists' lag") {
    random_source random{1};
    const wall_time change{seconds{1'700'000'000}};
    for (const bool enabled : {true, false}) {
        home_history homes{{.enabled = enabled}, "b", "orders"};
        homes.note_list({}, change - seconds{60});
        homes.note_list(list_of({"a", "b"}), change - seconds{30});
        homes.note_list(list_of({"b"}), change);
        int moved = 0;
        for (int i = 0; i < 100; ++i) {
            const auto key = make_uuid7(change, random);
            const bool soon = homes.vouches_for(key, change + seconds{4});
            moved += soon ? 0 : 1;
            REQUIRE(homes.vouches_for(key, change + seconds{6}));
            REQUIRE((soon || enabled));
        }
        REQUIRE((moved > 20 && moved < 80) == enabled);
    }
}

TEST_CASE("a sidecar vouches for no key whose home is elsewhere, and for all it is alone with") {
    const wall_time now{seconds{1'700'000'000}};
    home_history homes{{}, "b", "orders"};
    homes.note_list({}, now);
    REQUIRE(homes.vouches_for("k", now + seconds{1}));
    homes.note_list(list_of({"a"}), now + seconds{2});
    REQUIRE_FALSE(homes.vouches_for("k", now + seconds{3}));
}
