/// \file
/// Tests the callers' protocol: complete and streamed answers, and the error kind of each refusal.
#include "harness.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::entry::testing;

namespace {

http::header_list with(const std::string& name, std::string value) {
    http::header_list headers;
    headers.set(name, std::move(value));
    return headers;
}

void add_pipeline(harness& fixture) {
    fixture.add_sidecar("encoder-1", "encoders");
    fixture.add_sidecar("retriever-1", "retrievers");
    fixture.add_sidecar("engine-1", "engines", stream_three_tokens);
}

} // namespace

TEST_CASE("a plain service returns a complete answer with the request's identity") {
    harness fixture;
    auto& worker = fixture.add_sidecar("worker-1", "workers");
    const auto answer = fixture.post("stock", R"({"item":"satchel"})");
    INFO(answer.body);
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body.find(R"("result":{"stage":0,"input":{"item":"satchel"}})") !=
            std::string::npos);
    const auto sent = worker.sent_to("/v1/work");
    REQUIRE(sent.size() == 1);
    const auto& headers = sent.front().headers;
    const auto id = parse_work_id(headers.get("Boragefront-Work"));
    REQUIRE(id);
    REQUIRE(answer.body.find(id->request) != std::string::npos);
    REQUIRE(headers.get("Boragefront-Incarnation") == "42");
    REQUIRE(headers.get("Boragefront-Workspace") == "taller");
    REQUIRE(headers.get("Boragefront-Service") == "stock");
    REQUIRE(headers.get("Boragefront-Repeatable") == "1");
    REQUIRE(headers.get("Boragefront-Revision") == "7");
    REQUIRE(parse_number(headers.get("Boragefront-Expires-At")));
}

TEST_CASE("a pipeline passes each stage's result to the next") {
    harness fixture;
    fixture.add_sidecar("encoder-1", "encoders");
    fixture.add_sidecar("retriever-1", "retrievers");
    fixture.add_sidecar("engine-1", "engines");
    const auto answer = fixture.post("draft", R"("order")");
    INFO(answer.body);
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body.find(
                R"({"stage":2,"input":{"stage":1,"input":{"stage":0,"input":"order"}}})") !=
            std::string::npos);
}

TEST_CASE("a stream has its tokens in order, an explicit end and a count") {
    harness fixture;
    add_pipeline(fixture);
    const auto answer = fixture.post("draft", "{}", with("Accept", "text/event-stream"));
    REQUIRE(answer.status == 200);
    REQUIRE(answer.headers.get("Content-Type") == "text/event-stream");
    const auto first = answer.body.find("event: token\ndata: {\"index\":0,\"text\":\"t0\"}\n\n");
    const auto last = answer.body.find("event: token\ndata: {\"index\":2,\"text\":\"t2\"}\n\n");
    const auto end = answer.body.find("event: end\n");
    INFO(answer.body);
    REQUIRE(first != std::string::npos);
    REQUIRE(last != std::string::npos);
    REQUIRE(end != std::string::npos);
    REQUIRE((first < last && last < end));
    REQUIRE(answer.body.find("\"count\":3") != std::string::npos);
}

TEST_CASE("an incomplete stream ends with an error event and no end event") {
    harness fixture;
    fixture.add_sidecar("encoder-1", "encoders");
    fixture.add_sidecar("retriever-1", "retrievers");
    fixture.add_sidecar(
        "engine-1", "engines",
        [](const http::request& message, http::responder& out) -> http::awaitable<void> {
            auto head = answer_to(message, 200, {});
            (void)co_await out.begin(std::move(head));
            (void)co_await out.write("{\"index\":0,\"text\":\"a\"}\n");
            (void)co_await out.write("{\"index\":2,\"text\":\"c\"}\n");
            (void)co_await out.finish();
        });
    const auto answer = fixture.post("draft", "{}", with("Accept", "text/event-stream"));
    INFO(answer.body);
    REQUIRE(answer.body.find("event: token") != std::string::npos);
    REQUIRE(answer.body.find("event: error") != std::string::npos);
    REQUIRE(answer.body.find("incomplete_answer") != std::string::npos);
    REQUIRE(answer.body.find("event: end") == std::string::npos);
}

TEST_CASE("invalid input is refused with its error kind and field") {
    harness fixture;
    fixture.add_sidecar("worker-1", "workers");
    struct bad_input {
        http::request message;
        error_kind kind;
        std::string field;
    };
    const auto to = [](std::string target, std::string body, const http::header_list& headers) {
        http::request made;
        made.method = "POST";
        made.target = std::move(target);
        made.body = std::move(body);
        made.headers = headers;
        return made;
    };
    const std::string stock = "/v1/workspaces/taller/services/stock";
    const auto inputs = std::vector<bad_input>{
        {to(stock, "{", {}), error_kind::bad_request, "body"},
        {to(stock, "", {}), error_kind::bad_request, "body"},
        {to(stock, std::string(10'000, '1'), {}), error_kind::too_large, ""},
        {to("/v1/workspaces/taller/services/none", "{}", {}), error_kind::unknown_service,
         "service"},
        {to("/v1/workspaces/none/services/stock", "{}", {}), error_kind::unknown_workspace,
         "workspace"},
        {to("/v2/other", "{}", {}), error_kind::bad_request, "path"},
        {to(stock, "{}", with("Deadline-Ms", "soon")), error_kind::bad_request, "Deadline-Ms"},
        {to(stock, "{}", with("Deadline-Ms", "5001")), error_kind::bad_request, "Deadline-Ms"},
        {to(stock, "{}", with("Deadline-Ms", "0")), error_kind::expired, "Deadline-Ms"},
        {to(stock, "{}", with("Deadline-Ms", "-3")), error_kind::expired, "Deadline-Ms"},
        {to(stock, "{}", with("Idempotency-Key", "abc")), error_kind::bad_request,
         "Idempotency-Key"},
    };
    for (const auto& input : inputs) {
        const auto problem = harness::problem_of(fixture.call(input.message));
        CAPTURE(input.message.target, input.message.body.size(), to_string(problem));
        REQUIRE(problem.kind == input.kind);
        REQUIRE(problem.field == input.field);
        REQUIRE(problem.ran == work_ran::no);
    }
    http::request wrong_method;
    wrong_method.target = stock;
    REQUIRE(harness::problem_of(fixture.call(wrong_method)).field == "method");
}

TEST_CASE("a request without an eligible endpoint is refused as not run") {
    harness fixture;
    const auto problem = harness::problem_of(fixture.post("stock", "{}"));
    REQUIRE(problem.kind == error_kind::no_endpoint);
    REQUIRE(problem.ran == work_ran::no);
}

TEST_CASE("a failure after an earlier stage has run reports that work ran") {
    harness fixture;
    fixture.add_sidecar("encoder-1", "encoders");
    const auto problem = harness::problem_of(fixture.post("draft", "{}"));
    REQUIRE(problem.kind == error_kind::no_endpoint);
    REQUIRE(problem.ran == work_ran::yes);
}

TEST_CASE("probes distinguish liveness from readiness") {
    harness fixture;
    http::request health;
    health.target = "/healthz";
    http::request readiness;
    readiness.target = "/readyz";
    REQUIRE(fixture.call(health).status == 200);
    REQUIRE(fixture.call(readiness).status == 200);
    fixture.control.is_ready = false;
    REQUIRE(fixture.call(health).status == 200);
    REQUIRE(harness::problem_of(fixture.call(readiness)).kind == error_kind::not_ready);
    REQUIRE(harness::problem_of(fixture.post("stock", "{}")).kind == error_kind::not_ready);
    fixture.control.is_ready = true;
    fixture.core.draining = true;
    REQUIRE(harness::problem_of(fixture.call(readiness)).kind == error_kind::shutting_down);
    fixture.add_sidecar("worker-1", "workers");
    REQUIRE(fixture.post("stock", "{}").status == 200);
}
