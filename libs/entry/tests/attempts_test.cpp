/// \file
/// Tests retries, hedges, work identities and non-idempotent work at the message level.
#include "attempts_fixture.hpp"
#include "dump.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::entry::testing;

TEST_CASE("idempotent work that one sidecar refuses is answered by another") {
    harness fixture;
    const auto& full = fixture.add_sidecar("worker-1", "workers", refusing(error_kind::over_limit));
    const auto& other = fixture.add_sidecar("worker-2", "workers");
    for (int i = 0; i < 10; ++i) {
        REQUIRE(fixture.post("stock", "{}").status == 200);
    }
    REQUIRE(other.sent_to("/v1/work").size() == 10);
    REQUIRE(work_requests_sent({&full, &other}) <= 20);
}

TEST_CASE("work waits for the pool's only sidecar to restart") {
    harness fixture;
    std::atomic<int> refusals{0};
    auto& worker = fixture.add_sidecar(
        "worker-1", "workers", [&](const http::request& message, http::responder& out) {
            return refusals++ == 0
                       ? refuse(message, out, make_error(error_kind::shutting_down, "draining"))
                       : echo(message, out);
        });
    REQUIRE(fixture.post("stock", "{}").status == 200);
    REQUIRE(work_requests_sent({&worker}) == 2);
}

TEST_CASE("an answer for another identity is never returned to a caller") {
    harness fixture;
    std::atomic<int> swapped{0};
    fixture.add_sidecar(
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
    const auto answer = fixture.post("stock", "{}");
    INFO(answer.body);
    REQUIRE(answer.body.find("of another request") == std::string::npos);
    REQUIRE(answer.body.find(R"("own")") != std::string::npos);
}

TEST_CASE("the outcome of lost work is queried at its incarnation over a new connection") {
    harness fixture;
    auto& worker = fixture.add_sidecar("worker-1", "workers", dropping_work(echo));
    const auto answer = fixture.post("orders", R"({"satchels":3})");
    INFO(answer.body);
    REQUIRE(answer.status == 200);
    REQUIRE(work_requests_sent({&worker}) == 1);
    const auto queries = worker.sent_to("/v1/outcome");
    REQUIRE(queries.size() == 1);
    REQUIRE(queries.front().headers.get("Boragefront-Incarnation") == "42");
    REQUIRE(queries.front().headers.get("Boragefront-Work") ==
            worker.sent_to("/v1/work").front().headers.get("Boragefront-Work"));
}

TEST_CASE("non-idempotent work goes to another sidecar only after a recorded not_run") {
    harness fixture;
    const auto& lost =
        fixture.add_sidecar("worker-1", "workers", dropping_work(refusing(error_kind::not_run)));
    const auto& other = fixture.add_sidecar("worker-2", "workers");
    for (int i = 0; i < 5; ++i) {
        REQUIRE(fixture.post("orders", "{}").status == 200);
    }
    REQUIRE(lost.sent_to("/v1/outcome").size() == lost.sent_to("/v1/work").size());
    REQUIRE(other.sent_to("/v1/work").size() == 5);
}

TEST_CASE("an outcome that cannot be determined is unknown, and the work is not sent again") {
    harness fixture;
    const auto unknown = [](const http::request& message, http::responder& out) {
        return refuse(
            message, out,
            make_error(error_kind::wrong_incarnation, work_ran::unknown, "another incarnation"));
    };
    auto& first = fixture.add_sidecar("worker-1", "workers", dropping_work(unknown));
    auto& second = fixture.add_sidecar("worker-2", "workers", dropping_work(unknown));
    const auto problem = harness::problem_of(fixture.post("orders", "{}"));
    REQUIRE(problem.kind == error_kind::outcome_unknown);
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_requests_sent({&first, &second}) == 1);
}

TEST_CASE("unanswered outcome queries leave the outcome of lost work unknown") {
    harness fixture;
    // Neither the work nor any outcome query is answered.
    const auto drop = [](const http::request&, http::responder& out) -> http::awaitable<void> {
        co_await sleep_for(milliseconds{1});
        out.abandon();
    };
    auto& first = fixture.add_sidecar("worker-1", "workers", dropping_work(drop));
    const auto problem =
        harness::problem_of(fixture.post("orders", "{}", with_deadline(milliseconds{400})));
    REQUIRE(problem.kind == error_kind::outcome_unknown);
    REQUIRE(problem.ran == work_ran::unknown);
    REQUIRE(work_requests_sent({&first}) == 1);
    REQUIRE(first.sent_to("/v1/outcome").size() > 1);
}

TEST_CASE("an unresponsive connection times out early enough to query the outcome over a new one") {
    harness fixture;
    auto& worker = fixture.add_sidecar(
        "worker-1", "workers",
        [](const http::request& message, http::responder& out) -> http::awaitable<void> {
            if (message.target == "/v1/work") {
                co_await sleep_for(test_timeout);
            }
            co_await echo(message, out);
        });
    REQUIRE(fixture.post("orders", "{}", with_deadline(milliseconds{2'000})).status == 200);
    REQUIRE(work_requests_sent({&worker}) == 1);
}

TEST_CASE("nothing is sent to a sidecar with stale heartbeats") {
    harness fixture;
    auto& worker = fixture.add_sidecar("worker-1", "workers");
    auto stale = worker.heartbeat();
    stale.heard_at -= seconds{4};
    fixture.control.publish_heartbeat(stale);
    const auto problem =
        harness::problem_of(fixture.post("stock", "{}", with_deadline(milliseconds{300})));
    REQUIRE(problem.ran == work_ran::no);
    REQUIRE(work_requests_sent({&worker}) == 0);
    fixture.control.publish_heartbeat(worker.heartbeat());
    REQUIRE(fixture.post("stock", "{}").status == 200);
}

TEST_CASE("a data centre that is out of service receives no work") {
    harness fixture;
    auto& near = fixture.add_sidecar("worker-1", "workers");
    auto& far = fixture.add_sidecar("worker-2", "workers");
    far.data_centre = "there";
    fixture.control.publish_heartbeat(far.heartbeat());
    auto configuration = fixture.configuration;
    configuration.data_centres["here"] = config::service_state::out;
    fixture.control.publish(configuration);
    for (int i = 0; i < 5; ++i) {
        REQUIRE(fixture.post("stock", "{}").status == 200);
    }
    REQUIRE(work_requests_sent({&near}) == 0);
    REQUIRE(work_requests_sent({&far}) == 5);
}

TEST_CASE("one workspace's burst is refused at its limit") {
    harness fixture;
    fixture.add_sidecar("worker-1", "workers");
    auto configuration = fixture.configuration;
    configuration.workspaces["taller"].rate = 3.0;
    fixture.control.publish(configuration);
    int refused = 0;
    for (int i = 0; i < 10; ++i) {
        const auto answer = fixture.post("stock", "{}");
        refused += answer.status == 429 ? 1 : 0;
    }
    REQUIRE(refused > 0);
    REQUIRE(refused <= 7);
}

TEST_CASE("endpoint time is counted by stage and use") {
    harness fixture;
    fixture.add_sidecar("worker-1", "workers");
    REQUIRE(fixture.post("stock", "{}").status == 200);
    const auto& useful = fixture.metrics.get_counter(
        "boragefront_stage_endpoint_us_total", R"(service="stock",stage="stock",use="useful")");
    REQUIRE(useful.value() == 1'500);
}

TEST_CASE("the endpoint time of a stream is counted for its stage") {
    harness fixture;
    fixture.add_sidecar("encoder-1", "encoders");
    fixture.add_sidecar("retriever-1", "retrievers");
    fixture.add_sidecar("engine-1", "engines", stream_three_tokens);
    http::header_list headers;
    headers.set("Accept", "text/event-stream");
    REQUIRE(fixture.post("draft", "{}", headers).status == 200);
    // The counter is incremented after the caller has read the end.
    const auto& useful = fixture.metrics.get_counter(
        "boragefront_stage_endpoint_us_total", R"(service="draft",stage="generate",use="useful")");
    const auto& attained =
        fixture.metrics.get_counter("boragefront_attained_total", R"(service="draft")");
    const auto until = steady_clock::now() + test_timeout;
    while (attained.value() == 0 && steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    REQUIRE(attained.value() == 1);
    REQUIRE(useful.value() > 0);
    REQUIRE(fixture.metrics.exposition().find("first_token") == std::string::npos);
}

TEST_CASE("the dump shows exclusion reasons of endpoints, budgets and latencies") {
    harness fixture;
    fixture.add_sidecar("worker-1", "workers");
    REQUIRE(fixture.post("stock", "{}").status == 200);
    fixture.core.decisions.record_timeout("worker-1", steady_clock::now());
    const auto dump = dump_state(fixture.core, steady_clock::now());
    INFO(dump);
    REQUIRE(dump.find(R"("not_chosen_because":"suspected")") != std::string::npos);
    REQUIRE(dump.find(R"("retry_tokens":)") != std::string::npos);
    REQUIRE(dump.find(R"("usual_ms":null)") != std::string::npos);
}
