/// \file
/// Tests that work with an idempotency key runs only at its home sidecar, also while homes change.
#include "attempts_fixture.hpp"
#include "membership/subset.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>

using namespace boragefront;
using namespace boragefront::entry::testing;

TEST_CASE("a keyed order goes only to its home, even if the entry suspects the home") {
    harness fixture;
    std::vector<fake_sidecar*> workers;
    workers.reserve(5);
    for (int i = 0; i < 5; ++i) {
        workers.push_back(&fixture.add_sidecar("worker-" + std::to_string(i), "workers"));
    }
    const auto list = fixture.control.instances().load();
    const auto home = membership::home_of(*list, "workers", order_key)->id;
    for (int i = 0; i < 4; ++i) {
        fixture.core.decisions.record_timeout(home, steady_clock::now());
        REQUIRE(fixture.post("orders", "{}", with_idempotency_key()).status == 200);
    }
    for (const auto* worker : workers) {
        CAPTURE(worker->id(), home);
        REQUIRE(worker->sent_to("/v1/work").size() == (worker->id() == home ? 4U : 0U));
    }
}

TEST_CASE("a keyed order without an available home is not reported as not run") {
    harness fixture;
    auto& worker = fixture.add_sidecar("worker-1", "workers");
    worker.phase = control::service_phase::draining;
    fixture.control.publish_heartbeat(worker.heartbeat());
    const auto problem = harness::problem_of(fixture.post("orders", "{}", with_idempotency_key()));
    REQUIRE(problem.kind == error_kind::no_endpoint);
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_requests_sent({&worker}) == 0);
}

namespace {

// Three workers that handle keys as sidecars do: a new home runs a key only after the former home
// has released it.
class changing_homes {
public:
    explicit changing_homes(harness& fixture) : fixture_{fixture} {
        for (const auto* id : {"worker-0", "worker-1", "worker-2"}) {
            workers_[id] = &fixture.add_sidecar(
                id, "workers", [this](const http::request& message, http::responder& out) {
                    return answer(message, out);
                });
        }
        const auto list = fixture.control.instances().load();
        first = workers_.at(membership::home_of(*list, "workers", order_key)->id);
        auto configuration = fixture.configuration;
        configuration.endpoints[first->id()] = config::service_state::out;
        const auto serving = membership::sidecars_in_service(*list, configuration);
        second = workers_.at(membership::home_of(serving, "workers", order_key)->id);
        set_other_homes(first->id());
        fixture.control.publish(configuration);
    }

    void set_other_homes(const std::string& ids) { other_homes = ids; }

    void restore_first_home() { fixture_.control.publish(fixture_.configuration); }

    fake_sidecar* first;     ///< the home until it was taken out of service
    fake_sidecar* second;    ///< the home after that
    std::string other_homes; ///< named by workers that do not know a key's history
    std::atomic<bool> knows_key_history{false};
    std::atomic<bool> releases{true};

private:
    http::awaitable<void> answer(const http::request& message, http::responder& out) {
        const bool trusted = knows_key_history || message.headers.has("Boragefront-Released-By");
        const auto release = message.target == "/v1/release";
        if (release && releases) {
            co_await refuse(message, out, make_error(error_kind::not_run, "released"));
        } else if (release || !trusted) {
            const auto problem = make_error(error_kind::outcome_unknown, "key history unknown");
            auto refusal = answer_to(message, properties_of(problem.kind).http_status,
                                     to_problem_json(problem));
            refusal.headers.set("Boragefront-Other-Homes", other_homes);
            (void)co_await out.send(std::move(refusal));
        } else {
            co_await echo(message, out);
        }
    }

    harness& fixture_;
    std::map<std::string, fake_sidecar*> workers_;
};

} // namespace

TEST_CASE("the next sidecar in rank replaces a home that is out of service") {
    harness fixture;
    changing_homes homes{fixture};
    homes.knows_key_history = true;
    REQUIRE(fixture.post("orders", "{}", with_idempotency_key()).status == 200);
    REQUIRE(work_requests_sent({homes.second}) == 1);
    REQUIRE(work_requests_sent({homes.first}) == 0);
}

TEST_CASE("a new home runs a key after the former home has released it") {
    harness fixture;
    changing_homes homes{fixture};
    auto* from = homes.first;
    auto* to = homes.second;
    const bool home_restored = GENERATE(false, true);
    if (home_restored) {
        homes.restore_first_home();
        homes.other_homes = homes.second->id();
        std::swap(from, to);
    }
    REQUIRE(fixture.post("orders", "{}", with_idempotency_key()).status == 200);
    REQUIRE(from->sent_to("/v1/release").size() == 1);
    REQUIRE(work_requests_sent({from}) == 0);
    const auto sent = to->sent_to("/v1/work");
    REQUIRE(sent.size() == 2);
    REQUIRE(sent.back().headers.get("Boragefront-Released-By") == from->id());
    REQUIRE(sent.front().headers.get("Boragefront-Work") !=
            sent.back().headers.get("Boragefront-Work"));
}

TEST_CASE("each home that may have received a key is asked to release it") {
    harness fixture;
    changing_homes homes{fixture};
    homes.other_homes = "worker-0,worker-1,worker-2";
    REQUIRE(fixture.post("orders", "{}", with_idempotency_key()).status == 200);
    REQUIRE(homes.second->sent_to("/v1/work").back().headers.get("Boragefront-Released-By") ==
            homes.other_homes);
}

TEST_CASE("a refusal by another incarnation of a key's home is not reported as not run") {
    harness fixture;
    auto& worker =
        fixture.add_sidecar("worker-1", "workers", refusing(error_kind::wrong_incarnation));
    auto headers = with_idempotency_key();
    headers.set("Deadline-Ms", "300");
    const auto problem = harness::problem_of(fixture.post("orders", "{}", headers));
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_requests_sent({&worker}) == 1);
    REQUIRE(harness::problem_of(fixture.post("orders", "{}")).ran == work_ran::no);
}

TEST_CASE("the outcome of a key is unknown if the former home does not release it") {
    harness fixture;
    changing_homes homes{fixture};
    homes.releases = false;
    const auto problem = harness::problem_of(fixture.post("orders", "{}", with_idempotency_key()));
    REQUIRE(problem.kind == error_kind::outcome_unknown);
    REQUIRE(work_requests_sent({homes.second}) == 1);
    REQUIRE(work_requests_sent({homes.first}) == 0);
}
