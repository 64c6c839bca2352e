// Stages of one request that run at the same time while results are lost.
#include "deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr std::string_view two_chains = R"({"version":7,"routes":[
 {"name":"chains","host":"chains.example","prefix":"/","kind":"streaming","service":"model",
  "stream_resume":true,"timeout_ms":9000,"target_latency_ms":2000,"max_attempts":2,
  "stages":[{"service":"first","after":[],"bytes":1000},
            {"service":"second","after":[0],"bytes":1000},
            {"service":"third","after":[],"bytes":1000},
            {"service":"fourth","after":[2],"bytes":1000}]}],
 "services":[{"name":"model"},
  {"name":"first","pieces":{"slots":1,"batch":4,"call_ms":3000,"item_ms":1,"handle_s":4}},
  {"name":"second","pieces":{"slots":1,"batch":4,"call_ms":400,"item_ms":1,"handle_s":4}},
  {"name":"third","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"handle_s":4}},
  {"name":"fourth","pieces":{"slots":1,"batch":4,"call_ms":5,"item_ms":1,"handle_s":4}}],
 "tenants":[{"name":"team","api_keys":["key"]}]})";

} // namespace

// Guards against a request that waits for results which nothing reads any more.
TEST_CASE("a request goes on once its inputs exist, whatever else is being made again",
          "[invariant]") {
    deployment system;
    system.publish_text(std::string{two_chains});
    auto& first = system.add_endpoint("f-1", "first");
    auto& second = system.add_endpoint("s-1", "second");
    system.add_endpoint("t-1", "third");
    auto& fourth = system.add_endpoint("u-1", "fourth");
    auto& model = system.add_endpoint("m-1", "model");
    system.on_loop([&] {
        model.events = 3;
        second.work = milliseconds{400}; // reads the first results of "first" meanwhile
        first.later_call_work = seconds{3};
        fourth.calls_with_inputs_gone = 1; // all results are discarded
    });
    auto& gateway = system.start_ready_gateway();
    const auto sent_at = steady_clock::now();
    const auto answer = system.call_lines(
        gateway, deployment::make_staged_request("chains.example", "r1", "1,2,1,2"));
    const auto took = steady_clock::now() - sent_at;
    REQUIRE(answer);
    CHECK(answer.value().head.status == 200);
    CHECK_FALSE(answer.value().broken);
    CHECK(system.on_loop([&] { return first.visits().size(); }) >= 2);
    CHECK(took < seconds{2});
}
