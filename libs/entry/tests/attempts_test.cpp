/// \file
/// Retries, hedges, identities and work that is not idempotent, at the level of messages.
#include "attempts_fixture.hpp"
#include "dump.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::entry::testing;

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

TEST_CASE("work waits for a sidecar that restarts, as long as it is the only one") {
    harness peers;
    std::atomic<int> refusals{0};
    auto& worker = peers.add_sidecar(
        "worker-1", "workers", [&](const http::request& message, http::responder& out) {
            return refusals++ == 0
                       ? refuse(message, out, make_error(error_kind::shutting_down, "draining"))
                       : echo(message, out);
        });
    REQUIRE(peers.post("stock", "{}").status == 200);
    REQUIRE(work_sent({&worker}) == 2);
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
    peers.core.decisions.record_timeout("worker-1", steady_clock::now());
    const auto dump = dump_state(peers.core, steady_clock::now());
    INFO(dump);
    REQUIRE(dump.find(R"("not_chosen_because":"suspected")") != std::string::npos);
    REQUIRE(dump.find(R"("retry_tokens":)") != std::string::npos);
    REQUIRE(dump.find(R"("usual_ms":null)") != std::string::npos);
}
