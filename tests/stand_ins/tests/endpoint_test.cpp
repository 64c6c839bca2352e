#include "served.hpp"
#include "stand_ins/endpoint.hpp"

using namespace boragefront;
using namespace boragefront::stand_ins;

namespace {

using served_endpoint = served<endpoint>;

std::string order(const std::string& identity, const std::string& marker, bool stream = false) {
    return R"({"identity": ")" + identity + R"(", "stage": "s", "input": {"marker": ")" + marker +
           R"("}, "stream": )" + (stream ? "true" : "false") + "}";
}

boost::json::object ledger_of(const served_endpoint& peer) {
    return object_in(peer.get("/stand_in/ledger").body);
}

std::int64_t number_in(const boost::json::object& object, const char* name) {
    return object.at(name).to_number<std::int64_t>();
}

} // namespace

TEST_CASE("a run answers with the caller's marker and is in the ledger") {
    const served_endpoint peer{endpoint_options{.service = milliseconds{1}}};
    const auto answer = peer.send("POST", "/run", order("r/0/0", "mine"));
    REQUIRE(answer.status == 200);
    REQUIRE(answer.headers.has("Endpoint-Instance"));
    const auto output = object_in(answer.body).at("output").as_object();
    REQUIRE(output.at("marker") == "mine");
    REQUIRE(output.at("request") == "r");
    const auto runs = ledger_of(peer).at("runs").as_array();
    REQUIRE(runs.size() == 1);
    REQUIRE(runs.at(0).at("identity") == "r/0/0");
    REQUIRE(runs.at(0).at("finished") == true);
}

TEST_CASE("a stream holds every token and an explicit end") {
    const served_endpoint peer{endpoint_options{
        .kind = "engine", .service = milliseconds{1}, .tokens = 3, .token = milliseconds{1}}};
    support::blocking_client client;
    const auto answer = client.call_lines(
        peer.address(), {.method = "POST", .target = "/run", .body = order("r/0/0", "m", true)},
        served_endpoint::patience);
    REQUIRE(answer);
    REQUIRE(answer.value().lines.size() == 4);
    REQUIRE(string_or_empty(object_in(answer.value().lines.at(2)), "text") == token_text("m", 2));
    REQUIRE(object_in(answer.value().lines.at(3)).at("count") == 3);
}

TEST_CASE("a cold endpoint falls over beyond its cold limit") {
    const served_endpoint peer{
        endpoint_options{.service = std::chrono::hours{1}, .cold_limit = 1, .warm_after = 1}};
    std::thread first{[&] {
        (void)support::send_json(peer.address(), "POST", "/run", order("r/0/0", "a"),
                                 served_endpoint::patience);
    }};
    while (number_in(ledger_of(peer), "peak_running") < 1) {
        std::this_thread::yield();
    }
    const auto second = support::send_json(peer.address(), "POST", "/run", order("r/0/1", "b"),
                                           served_endpoint::patience);
    first.join();
    REQUIRE_FALSE(second);
    REQUIRE(second.error().ran == work_ran::unknown);
    REQUIRE(number_in(ledger_of(peer), "fell_over") == 1);
    REQUIRE(number_in(ledger_of(peer), "peak_while_cold") == 2);
}

TEST_CASE("a warm endpoint refuses beyond its limit, and the refused work is not in the ledger") {
    const served_endpoint peer{
        endpoint_options{.service = milliseconds{1}, .limit = 0, .cold_limit = 1, .warm_after = 1}};
    REQUIRE(peer.send("POST", "/run", order("r/0/0", "a")).status == 200);
    REQUIRE(peer.send("POST", "/run", order("r/0/1", "a")).status == 503);
    REQUIRE(ledger_of(peer).at("runs").as_array().size() == 1);
    REQUIRE(number_in(ledger_of(peer), "over_limit") == 1);
}

TEST_CASE("faults are switched on request") {
    const served_endpoint peer{
        endpoint_options{.kind = "engine", .service = milliseconds{1}, .tokens = 3}};
    peer.send("POST", "/stand_in/faults", R"({"fail": true})");
    REQUIRE(peer.send("POST", "/run", order("r/0/0", "a")).status == 500);
    peer.send("POST", "/stand_in/faults", R"({"fail": false, "cut_after_tokens": 2})");
    support::blocking_client client;
    const auto cut = client.call_lines(
        peer.address(), {.method = "POST", .target = "/run", .body = order("r/0/1", "a", true)},
        served_endpoint::patience);
    REQUIRE(cut);
    REQUIRE(cut.value().lines.size() == 2);
    REQUIRE(cut.value().broken);
}
