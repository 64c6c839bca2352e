/// \file
/// Orders with a key: at their home only, also while homes move, at the level of messages.
#include "attempts_fixture.hpp"
#include "membership/subset.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>

using namespace boragefront;
using namespace boragefront::entry::testing;

TEST_CASE("a keyed order goes to its home only, whatever its entry thinks of the home's health") {
    harness peers;
    std::vector<fake_sidecar*> workers;
    workers.reserve(5);
    for (int i = 0; i < 5; ++i) {
        workers.push_back(&peers.add_sidecar("worker-" + std::to_string(i), "workers"));
    }
    const auto list = peers.control.instances().load();
    const auto home = membership::home_of(*list, "workers", order_key)->id;
    for (int i = 0; i < 4; ++i) {
        peers.core.decisions.record_timeout(home, steady_clock::now());
        REQUIRE(peers.post("orders", "{}", keyed()).status == 200);
    }
    for (const auto* worker : workers) {
        CAPTURE(worker->id(), home);
        REQUIRE(worker->sent_to("/v1/work").size() == (worker->id() == home ? 4U : 0U));
    }
}

TEST_CASE("a keyed order whose home is unknown is not said to have never run") {
    harness peers;
    auto& worker = peers.add_sidecar("worker-1", "workers");
    worker.phase = control::service_phase::draining;
    peers.control.hear(worker.heard());
    const auto problem = harness::problem_of(peers.post("orders", "{}", keyed()));
    REQUIRE(problem.kind == error_kind::no_endpoint);
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_sent({&worker}) == 0);
}

namespace {

// Three workers that behave as sidecars do towards keys: one that became a home lately runs a key
// only on the former home's word.
class changing_homes {
public:
    explicit changing_homes(harness& peers) : peers_{peers} {
        for (const auto* id : {"worker-0", "worker-1", "worker-2"}) {
            workers_[id] = &peers.add_sidecar(
                id, "workers", [this](const http::request& message, http::responder& out) {
                    return answer(message, out);
                });
        }
        const auto list = peers.control.instances().load();
        first = workers_.at(membership::home_of(*list, "workers", order_key)->id);
        auto configuration = peers.configuration;
        configuration.endpoints[first->id()] = config::service_state::out;
        const auto serving = membership::sidecars_in_service(*list, configuration);
        second = workers_.at(membership::home_of(serving, "workers", order_key)->id);
        name_homes(first->id());
        peers.control.publish(configuration);
    }

    void name_homes(const std::string& ids) { other_homes = ids; }

    void take_back_in() { peers_.control.publish(peers_.configuration); }

    fake_sidecar* first;     ///< the home until it was taken out
    fake_sidecar* second;    ///< the home since
    std::string other_homes; ///< named by those that do not vouch
    std::atomic<bool> vouches{false};
    std::atomic<bool> releases{true};

private:
    http::awaitable<void> answer(const http::request& message, http::responder& out) {
        const bool trusted = vouches || message.headers.has("Boragefront-Released-By");
        const auto release = message.target == "/v1/release";
        if (release && releases) {
            co_await refuse(message, out, make_error(error_kind::not_run, "released"));
        } else if (release || !trusted) {
            const auto problem = make_error(error_kind::outcome_unknown, "not vouched");
            auto refusal = answer_to(message, properties_of(problem.kind).http_status,
                                     to_problem_json(problem));
            refusal.headers.set("Boragefront-Other-Homes", other_homes);
            (void)co_await out.send(std::move(refusal));
        } else {
            co_await echo(message, out);
        }
    }

    harness& peers_;
    std::map<std::string, fake_sidecar*> workers_;
};

} // namespace

TEST_CASE("a home that is out is followed by the next") {
    harness peers;
    changing_homes homes{peers};
    homes.vouches = true;
    REQUIRE(peers.post("orders", "{}", keyed()).status == 200);
    REQUIRE(work_sent({homes.second}) == 1);
    REQUIRE(work_sent({homes.first}) == 0);
}

TEST_CASE("a home that cannot vouch for a key runs it on the word of the home before") {
    harness peers;
    changing_homes homes{peers};
    auto* from = homes.first;
    auto* to = homes.second;
    const bool returned = GENERATE(false, true);
    if (returned) {
        homes.take_back_in();
        homes.other_homes = homes.second->id();
        std::swap(from, to);
    }
    REQUIRE(peers.post("orders", "{}", keyed()).status == 200);
    REQUIRE(from->sent_to("/v1/release").size() == 1);
    REQUIRE(work_sent({from}) == 0);
    const auto sent = to->sent_to("/v1/work");
    REQUIRE(sent.size() == 2);
    REQUIRE(sent.back().headers.get("Boragefront-Released-By") == from->id());
    REQUIRE(sent.front().headers.get("Boragefront-Work") !=
            sent.back().headers.get("Boragefront-Work"));
}

TEST_CASE("each home that may have been given a key is asked, and the first result is used") {
    harness peers;
    changing_homes homes{peers};
    homes.other_homes = "worker-0,worker-1,worker-2";
    REQUIRE(peers.post("orders", "{}", keyed()).status == 200);
    REQUIRE(homes.second->sent_to("/v1/work").back().headers.get("Boragefront-Released-By") ==
            homes.other_homes);
}

TEST_CASE("a key's refusal by another incarnation of its home does not say that it never ran") {
    harness peers;
    auto& worker =
        peers.add_sidecar("worker-1", "workers", refusing(error_kind::wrong_incarnation));
    auto headers = keyed();
    headers.set("Deadline-Ms", "300");
    const auto problem = harness::problem_of(peers.post("orders", "{}", headers));
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_sent({&worker}) == 1);
    REQUIRE(harness::problem_of(peers.post("orders", "{}")).ran == work_ran::no);
}

TEST_CASE("without the word of the home before, the outcome of a key is unknown") {
    harness peers;
    changing_homes homes{peers};
    homes.releases = false;
    const auto problem = harness::problem_of(peers.post("orders", "{}", keyed()));
    REQUIRE(problem.kind == error_kind::outcome_unknown);
    REQUIRE(work_sent({homes.second}) == 1);
    REQUIRE(work_sent({homes.first}) == 0);
}
