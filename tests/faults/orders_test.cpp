/// \file
/// A request that may not be repeated runs at most once, and its outcome is told truthfully.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

#include <functional>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

constexpr milliseconds order_deadline{2'000};
constexpr unsigned rounds = 3;

using failure = std::function<void(cluster&, unsigned round)>;

load_options orders_load() {
    auto order = order_request();
    order.deadline = order_deadline;
    return {.mix = {order}, .callers = 6, .order_retries = 3, .seed = 11};
}

// Runs orders while a failure comes and goes, and judges them.
void prove_at_most_once(std::string_view name, const deployment_options& options,
                        const failure& fail) {
    const auto deployment = start_deployment(options);
    const auto wanted = orders_load();
    CAPTURE(wanted.seed);
    running_load load{*deployment, wanted};
    load.wait_whole(30);
    for (unsigned round = 0; round < rounds; ++round) {
        fail(*deployment, round);
        load.wait_whole(20);
    }
    const auto judged = judge(*deployment, load.stop());
    WARN(name << ": " << to_string(judged));
    REQUIRE(judged.faults.empty());
}

const deployment_options slow_orders{.order_service_ms = 30, .order_jitter_ms = 30};

} // namespace

TEST_CASE("orders run at most once when an entry is killed after sending", "[invariant]") {
    prove_at_most_once("entry killed", slow_orders, [](cluster& deployment, unsigned round) {
        auto& entry = deployment.entry(round % 2 == 0 ? "entry-0" : "entry-1");
        entry.kill();
        REQUIRE(entry.start());
        REQUIRE(deployment.wait_ready(patience));
    });
}

TEST_CASE("orders run at most once when a sidecar is killed after dispatch",
          "[.][sidecar_killed]") {
    prove_at_most_once("sidecar killed", slow_orders, [](cluster& deployment, unsigned round) {
        auto& sidecar = *deployment.slots().at(round % deployment.slots().size()).sidecar;
        sidecar.kill();
        REQUIRE(sidecar.start());
    });
}

TEST_CASE("orders run at most once when an endpoint is killed before its answer",
          "[.][endpoint_killed]") {
    prove_at_most_once("endpoint killed", slow_orders, [](cluster& deployment, unsigned round) {
        auto& endpoint = *deployment.slots().at(round % deployment.slots().size()).endpoint;
        endpoint.kill();
        REQUIRE(endpoint.start());
    });
}

TEST_CASE("orders run at most once when established connections go silent", "[invariant]") {
    auto options = slow_orders;
    options.relayed = true;
    prove_at_most_once("connections silent", options, [](cluster& deployment, unsigned /*round*/) {
        for (auto& slot : deployment.slots()) {
            REQUIRE(slot.relay->set_faults(R"({"mode": "swallow_established"})"));
        }
    });
}

TEST_CASE("orders run at most once when a sidecar is frozen and wakes", "[invariant]") {
    prove_at_most_once("sidecar frozen", slow_orders, [](cluster& deployment, unsigned round) {
        auto& sidecar = *deployment.slots().at(round % deployment.slots().size()).sidecar;
        sidecar.freeze();
        std::this_thread::sleep_for(order_deadline);
        sidecar.thaw();
    });
}

TEST_CASE("orders run at most once when an entry is frozen and wakes", "[invariant]") {
    prove_at_most_once("entry frozen", slow_orders, [](cluster& deployment, unsigned /*round*/) {
        deployment.entry("entry-0").freeze();
        std::this_thread::sleep_for(order_deadline);
        deployment.entry("entry-0").thaw();
    });
}

TEST_CASE("orders run at most once when the home of their keys moves", "[invariant]") {
    prove_at_most_once("home moves", slow_orders, [](cluster& deployment, unsigned round) {
        const auto id = deployment.slots().at(round % deployment.slots().size()).spec.id;
        publish(deployment, "endpoints/" + id, R"({"state": "out"})");
        std::this_thread::sleep_for(seconds{1});
        publish(deployment, "endpoints/" + id, R"({"state": "in"})");
    });
}

TEST_CASE("orders run at most once when two entries disagree on the list", "[invariant]") {
    prove_at_most_once("lists differ", slow_orders, [](cluster& deployment, unsigned round) {
        auto& slot = deployment.slots().at(round % deployment.slots().size());
        deployment.entry("entry-0").freeze();
        slot.leaving = true;
        REQUIRE(deployment.publish_instances());
        std::this_thread::sleep_for(seconds{1});
        deployment.entry("entry-0").thaw();
        slot.leaving = false;
        REQUIRE(deployment.publish_instances());
    });
}

TEST_CASE("orders without a key run at most once when endpoints die and connections go silent",
          "[.][endpoint_killed]") {
    auto options = slow_orders;
    options.relayed = true;
    const auto deployment = start_deployment(options);
    auto wanted = orders_load();
    wanted.keyed_orders = false;
    wanted.order_retries = 0;
    running_load load{*deployment, wanted};
    load.wait_whole(30);
    for (auto& slot : deployment->slots()) {
        slot.endpoint->kill();
        REQUIRE(slot.endpoint->start());
        load.wait_whole(10);
        REQUIRE(slot.relay->set_faults(R"({"mode": "swallow_established"})"));
        load.wait_whole(10);
    }
    const auto judged = judge(*deployment, load.stop());
    WARN("without keys: " << to_string(judged));
    REQUIRE(judged.faults.empty());
}

TEST_CASE("a caller's retry with the same key at another entry never runs the order again",
          "[.][retried_elsewhere]") {
    const auto deployment = start_deployment(slow_orders);
    blocking_client client;
    random_source random{7};
    std::vector<call_record> answers;
    for (unsigned turn = 0; turn < 20; ++turn) {
        auto asked = order_request();
        asked.marker = "same key " + std::to_string(turn);
        const auto now =
            std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
        asked.idempotency_key = make_uuid7(now, random);
        for (const auto& entry : deployment->entry_addresses()) {
            answers.push_back(make_call(client, entry, asked));
            INFO(answers.back().kind << ' ' << answers.back().detail);
            REQUIRE(answers.back().whole);
        }
    }
    const auto judged = judge(*deployment, answers);
    INFO(to_string(judged));
    REQUIRE(judged.faults.empty());
    REQUIRE(judged.orders_whole == 20);
}
