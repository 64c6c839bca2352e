/// \file
/// An endpoint that has just started never receives more work than it can bear.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

constexpr unsigned senders = 30;

deployment_options one_endpoint() {
    return {.entries = 3, .order_workers = 1, .warm_after = 8};
}

load_options crowd() {
    auto stock = stock_request();
    stock.deadline = milliseconds{2'000};
    return {.mix = {stock}, .callers = senders, .pause = milliseconds{1}, .seed = 3};
}

// Falls are none, cold runs within the limit, and capacity is back.
void require_borne(cluster& deployment, running_load& load) {
    load.wait_whole(60);
    const auto judged = judge(deployment, load.stop());
    const auto runs = read_ledgers(deployment.ledgers());
    WARN(to_string(judged) << "; falls " << runs.falls);
    REQUIRE(judged.faults.empty());
    REQUIRE(runs.falls == 0);
    REQUIRE(runs.starts.back().running_cold == 0);
}

} // namespace

TEST_CASE("many senders hit an endpoint that has just started", "[invariant]") {
    const auto deployment = start_deployment(one_endpoint());
    running_load load{*deployment, crowd()};
    load.wait_whole(60);
    auto& endpoint = *deployment->slot("order-0").endpoint;
    for (unsigned round = 0; round < 3; ++round) {
        endpoint.kill();
        REQUIRE(endpoint.start());
        load.wait_whole(20);
    }
    require_borne(*deployment, load);
}

TEST_CASE("a sidecar restarts alone under many senders", "[invariant]") {
    const auto deployment = start_deployment(one_endpoint());
    running_load load{*deployment, crowd()};
    load.wait_whole(60);
    auto& sidecar = *deployment->slot("order-0").sidecar;
    sidecar.kill();
    REQUIRE(sidecar.start());
    require_borne(*deployment, load);
}

TEST_CASE("sidecar and endpoint restart together under many senders", "[invariant]") {
    const auto deployment = start_deployment(one_endpoint());
    running_load load{*deployment, crowd()};
    load.wait_whole(60);
    auto& slot = deployment->slot("order-0");
    slot.sidecar->kill();
    slot.endpoint->kill();
    REQUIRE(slot.endpoint->start());
    REQUIRE(slot.sidecar->start());
    require_borne(*deployment, load);
}

TEST_CASE("a sidecar wakes beside an endpoint that restarted meanwhile", "[invariant]") {
    const auto deployment = start_deployment(one_endpoint());
    running_load load{*deployment, crowd()};
    load.wait_whole(60);
    auto& slot = deployment->slot("order-0");
    slot.sidecar->freeze();
    slot.endpoint->kill();
    REQUIRE(slot.endpoint->start());
    std::this_thread::sleep_for(seconds{3});
    slot.sidecar->thaw();
    require_borne(*deployment, load);
}

TEST_CASE("an endpoint that turns cold without a word falls at most once and serves again",
          "[invariant]") {
    const auto deployment = start_deployment(one_endpoint());
    running_load load{*deployment, crowd()};
    load.wait_whole(60);
    REQUIRE(deployment->slot("order-0").endpoint->set_faults(R"({"turn_cold": true})"));
    load.wait_whole(60);
    (void)load.stop();
    const auto runs = read_ledgers(deployment->ledgers());
    WARN("falls " << runs.falls);
    REQUIRE(runs.falls <= 1);
    REQUIRE(runs.starts.back().running_cold == 0);
}
