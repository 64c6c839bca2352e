/// \file
/// Retries, hedges, identities and work that is not idempotent, at the level of messages.
#include "dump.hpp"
#include "harness.hpp"
#include "membership/subset.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>

using namespace boragefront;
using namespace boragefront::entry::testing;

namespace {

constexpr auto order_key = "01890a5d-ac96-774b-bcce-b302099a8057";

http::header_list keyed() {
    http::header_list headers;
    headers.set("Idempotency-Key", order_key);
    return headers;
}

http::header_list within(milliseconds deadline) {
    http::header_list headers;
    headers.set("Deadline-Ms", std::to_string(deadline.count()));
    return headers;
}

fake_sidecar::script refusing(error_kind kind) {
    return [kind](const http::request& message, http::responder& out) {
        return refuse(message, out, make_error(kind, "refused by the script"));
    };
}

// Cuts the connection of the work, then answers questions for its outcome by `outcome`.
fake_sidecar::script losing_work(fake_sidecar::script outcome) {
    return [outcome](const http::request& message, http::responder& out) -> http::awaitable<void> {
        if (message.target != "/v1/work") {
            co_await outcome(message, out);
        }
    };
}

std::size_t work_sent(std::initializer_list<const fake_sidecar*> sidecars) {
    std::size_t sent = 0;
    for (const auto* one : sidecars) {
        sent += one->sent_to("/v1/work").size();
    }
    return sent;
}

} // namespace

TEST_CASE("idempotent work that one sidecar refuses is answered by another") {
    harness peers;
    const auto& full = peers.add_sidecar("worker-1", "workers", refusing(error_kind::over_limit));
    const auto& other = peers.add_sidecar("worker-2", "workers");
    for (int i = 0; i < 10; ++i) {
        REQUIRE(peers.post("stock", "{}").status == 200);
    }
    REQUIRE(other.sent_to("/v1/work").size() == 10);
    REQUIRE(work_sent({&full, &other}) <= 20);
}

TEST_CASE("an answer for another identity is never given to a caller") {
    harness peers;
    std::atomic<int> swapped{0};
    peers.add_sidecar(
        "worker-1", "workers",
        [&](const http::request& message, http::responder& out) -> http::awaitable<void> {
            auto answer = answer_to(message, 200, R"("of another request")");
            const bool swap = ++swapped <= 2;
            if (swap) {
                answer.headers.set("Boragefront-Work", "01890a5d-ac96-774b-bcce-b302099a8057/0/0");
            } else {
                answer.body = R"("own")";
            }
            (void)co_await out.send(std::move(answer));
        });
    const auto answer = peers.post("stock", "{}");
    INFO(answer.body);
    REQUIRE(answer.body.find("of another request") == std::string::npos);
    REQUIRE(answer.body.find(R"("own")") != std::string::npos);
}

TEST_CASE("a silent sidecar is overtaken, and its answer is not waited for") {
    harness peers;
    const auto silent = [](const http::request&, http::responder&) {
        return sleep_for(long_enough);
    };
    peers.add_sidecar("worker-1", "workers", silent);
    peers.add_sidecar("worker-2", "workers");
    for (int i = 0; i < 6; ++i) {
        REQUIRE(peers.post("stock", "{}", within(milliseconds{1'000})).status == 200);
    }
}

TEST_CASE("work whose connection broke is settled by its own incarnation over a new connection") {
    harness peers;
    auto& worker = peers.add_sidecar("worker-1", "workers", losing_work(echo));
    const auto answer = peers.post("orders", R"({"satchels":3})");
    INFO(answer.body);
    REQUIRE(answer.status == 200);
    REQUIRE(work_sent({&worker}) == 1);
    const auto questions = worker.sent_to("/v1/outcome");
    REQUIRE(questions.size() == 1);
    REQUIRE(questions.front().headers.get("Boragefront-Incarnation") == "42");
    REQUIRE(questions.front().headers.get("Boragefront-Work") ==
            worker.sent_to("/v1/work").front().headers.get("Boragefront-Work"));
}

TEST_CASE("work that is not idempotent goes elsewhere only after a recorded not_run") {
    harness peers;
    const auto& lost =
        peers.add_sidecar("worker-1", "workers", losing_work(refusing(error_kind::not_run)));
    const auto& other = peers.add_sidecar("worker-2", "workers");
    for (int i = 0; i < 5; ++i) {
        REQUIRE(peers.post("orders", "{}").status == 200);
    }
    REQUIRE(lost.sent_to("/v1/outcome").size() == lost.sent_to("/v1/work").size());
    REQUIRE(other.sent_to("/v1/work").size() == 5);
}

TEST_CASE("an outcome that cannot be learned is unknown, and nothing is sent again") {
    harness peers;
    const auto unknown = [](const http::request& message, http::responder& out) {
        return refuse(message, out,
                      make_error(error_kind::wrong_incarnation, work_ran::unknown, "another life"));
    };
    auto& first = peers.add_sidecar("worker-1", "workers", losing_work(unknown));
    auto& second = peers.add_sidecar("worker-2", "workers", losing_work(unknown));
    const auto problem = harness::problem_of(peers.post("orders", "{}"));
    REQUIRE(problem.kind == error_kind::outcome_unknown);
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_sent({&first, &second}) == 1);
}

TEST_CASE("a question that nobody hears does not make lost work not run") {
    harness peers;
    // Neither the work nor any question is answered.
    auto& first =
        peers.add_sidecar("worker-1", "workers",
                          losing_work([](auto&, auto&) { return sleep_for(milliseconds{1}); }));
    const auto problem = harness::problem_of(peers.post("orders", "{}", within(milliseconds{400})));
    REQUIRE(problem.kind == error_kind::outcome_unknown);
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_sent({&first}) == 1);
    REQUIRE(first.sent_to("/v1/outcome").size() > 1);
}

TEST_CASE("a silent connection is given up in time to learn the outcome over a new one") {
    harness peers;
    auto& worker = peers.add_sidecar(
        "worker-1", "workers",
        [](const http::request& message, http::responder& out) -> http::awaitable<void> {
            if (message.target == "/v1/work") {
                co_await sleep_for(long_enough);
            }
            co_await echo(message, out);
        });
    REQUIRE(peers.post("orders", "{}", within(milliseconds{2'000})).status == 200);
    REQUIRE(work_sent({&worker}) == 1);
}

TEST_CASE("a keyed order goes to its home only, whatever its entry thinks of the home's health") {
    harness peers;
    std::vector<fake_sidecar*> workers;
    for (int i = 0; i < 5; ++i) {
        workers.push_back(&peers.add_sidecar("worker-" + std::to_string(i), "workers"));
    }
    const auto list = peers.control.instances().load();
    const auto home = membership::home_of(*list, "workers", order_key)->id;
    for (int i = 0; i < 4; ++i) {
        peers.core.decisions.note_silence(home, steady_clock::now());
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
        const auto serving = membership::in_service(*list, configuration);
        second = workers_.at(membership::home_of(serving, "workers", order_key)->id);
        other_homes = first->id();
        peers.control.publish(configuration);
    }

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
            auto refusal =
                answer_to(message, answer_for(problem.kind).http_status, to_problem_json(problem));
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

TEST_CASE("nothing is sent to a sidecar that was not heard from lately") {
    harness peers;
    auto& worker = peers.add_sidecar("worker-1", "workers");
    auto stale = worker.heard();
    stale.heard_at -= seconds{4};
    peers.control.hear(stale);
    const auto problem = harness::problem_of(peers.post("stock", "{}", within(milliseconds{300})));
    REQUIRE(problem.ran == work_ran::no);
    REQUIRE(work_sent({&worker}) == 0);
    peers.control.hear(worker.heard());
    REQUIRE(peers.post("stock", "{}").status == 200);
}

TEST_CASE("a data centre that is out gets nothing") {
    harness peers;
    auto& near = peers.add_sidecar("worker-1", "workers");
    auto& far = peers.add_sidecar("worker-2", "workers");
    far.data_centre = "there";
    peers.control.hear(far.heard());
    auto configuration = peers.configuration;
    configuration.data_centres["here"] = config::service_state::out;
    peers.control.publish(configuration);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(peers.post("stock", "{}").status == 200);
    }
    REQUIRE(work_sent({&near}) == 0);
    REQUIRE(work_sent({&far}) == 5);
}

TEST_CASE("one workspace's burst is refused at its limit") {
    harness peers;
    peers.add_sidecar("worker-1", "workers");
    auto configuration = peers.configuration;
    configuration.workspaces["taller"].rate = 3.0;
    peers.control.publish(configuration);
    int refused = 0;
    for (int i = 0; i < 10; ++i) {
        const auto answer = peers.post("stock", "{}");
        refused += answer.status == 429 ? 1 : 0;
    }
    REQUIRE(refused > 0);
    REQUIRE(refused <= 7);
}

TEST_CASE("cost is counted by stage and use") {
    harness peers;
    peers.add_sidecar("worker-1", "workers");
    REQUIRE(peers.post("stock", "{}").status == 200);
    const auto& useful = peers.metrics.get_counter("boragefront_stage_endpoint_us_total",
                                                   R"(service="stock",stage="stock",use="useful")");
    REQUIRE(useful.value() == 1'500);
}

TEST_CASE("a stream's cost is counted for its own stage") {
    harness peers;
    peers.add_sidecar("encoder-1", "encoders");
    peers.add_sidecar("retriever-1", "retrievers");
    peers.add_sidecar("engine-1", "engines", stream_three);
    http::header_list headers;
    headers.set("Accept", "text/event-stream");
    REQUIRE(peers.post("draft", "{}", headers).status == 200);
    // The counter is raised after the caller has read the end.
    const auto& useful = peers.metrics.get_counter(
        "boragefront_stage_endpoint_us_total", R"(service="draft",stage="generate",use="useful")");
    const auto& attained =
        peers.metrics.get_counter("boragefront_attained_total", R"(service="draft")");
    const auto until = steady_clock::now() + long_enough;
    while (attained.value() == 0 && steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    REQUIRE(attained.value() == 1);
    REQUIRE(useful.value() > 0);
    REQUIRE(peers.metrics.exposition().find("first_token") == std::string::npos);
}

TEST_CASE("the dump shows endpoints with why they are not chosen, budgets and latencies") {
    harness peers;
    peers.add_sidecar("worker-1", "workers");
    REQUIRE(peers.post("stock", "{}").status == 200);
    peers.core.decisions.note_silence("worker-1", steady_clock::now());
    const auto dump = dump_state(peers.core, steady_clock::now());
    INFO(dump);
    REQUIRE(dump.find(R"("not_chosen_because":"suspected")") != std::string::npos);
    REQUIRE(dump.find(R"("retry_tokens":)") != std::string::npos);
    REQUIRE(dump.find(R"("usual_ms":null)") != std::string::npos);
}
