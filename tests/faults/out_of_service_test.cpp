/// \file
/// A data centre that is out and an endpoint that is leaving receive no new work after a few
/// seconds, whatever anyone believed before.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

constexpr seconds observation{2}; ///< how long it must stay without new work

// Longer than the bound: what was held up does not expire by itself.
constexpr milliseconds long_deadline{5'000};

load_options mixed_load(milliseconds deadline = milliseconds{1'500}) {
    auto order = order_request();
    order.deadline = deadline;
    auto stock = stock_request();
    stock.deadline = deadline;
    return {.mix = {order, stock}, .callers = 6, .seed = 5};
}

// Waits out the bound, then requires that nothing starts any more.
void require_no_new_work(cluster& deployment, std::string_view endpoint, time_point changed) {
    std::this_thread::sleep_until(changed + out_bound);
    const auto from = changed + out_bound;
    std::this_thread::sleep_for(observation);
    REQUIRE(starts_after(deployment, endpoint, from) == 0);
}

void require_work_again(cluster& deployment, std::string_view endpoint) {
    const auto from = steady_clock::now();
    REQUIRE(wait_until(patience, [&] { return started_after(deployment, endpoint, from); }));
}

void require_no_faults(cluster& deployment, running_load& load) {
    const auto judged = judge(deployment, load.stop());
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
}

} // namespace

TEST_CASE("a data centre that is out receives no new work, and receives it again when it is back",
          "[invariant]") {
    const auto deployment = start_deployment({});
    running_load load{*deployment, mixed_load()};
    load.wait_whole(40);
    publish(*deployment, "data_centres/a", R"({"state": "out"})");
    require_no_new_work(*deployment, "order-0", steady_clock::now());
    load.wait_whole(20);
    publish(*deployment, "data_centres/a", R"({"state": "in"})");
    require_work_again(*deployment, "order-0");
    require_no_faults(*deployment, load);
}

TEST_CASE("a frozen entry and a platform that is down do not bring work to a data centre out",
          "[invariant]") {
    const auto deployment = start_deployment({});
    running_load load{*deployment, mixed_load()};
    load.wait_whole(40);
    auto& frozen = deployment->entry("entry-1");
    frozen.freeze();
    publish(*deployment, "data_centres/a", R"({"state": "out"})");
    const auto changed = steady_clock::now();
    std::this_thread::sleep_for(milliseconds{500});
    REQUIRE(deployment->platform().set_faults(R"({"down": true})"));
    std::this_thread::sleep_until(changed + out_bound);
    frozen.thaw();
    require_no_new_work(*deployment, "order-0", changed);
    load.wait_whole(20);
    REQUIRE(deployment->platform().set_faults(R"({"down": false})"));
    publish(*deployment, "data_centres/a", R"({"state": "in"})");
    require_work_again(*deployment, "order-0");
    require_no_faults(*deployment, load);
}

TEST_CASE("requests held in a cut link do not start in a data centre that went out meanwhile",
          "[invariant]") {
    const auto deployment = start_deployment({.relayed = true});
    running_load load{*deployment, mixed_load(long_deadline)};
    load.wait_whole(40);
    auto& relay = *deployment->slot("order-0").relay;
    REQUIRE(relay.set_faults(R"({"mode": "hold"})"));
    publish(*deployment, "data_centres/a", R"({"state": "out"})");
    const auto changed = steady_clock::now();
    std::this_thread::sleep_until(changed + out_bound);
    REQUIRE(relay.set_faults(R"({"mode": "pass"})"));
    require_no_new_work(*deployment, "order-0", changed);
    require_no_faults(*deployment, load);
}

TEST_CASE("a sidecar that was frozen since before starts no work in a data centre out",
          "[invariant]") {
    const auto deployment = start_deployment({});
    running_load load{*deployment, mixed_load(long_deadline)};
    load.wait_whole(40);
    auto& frozen = *deployment->slot("order-0").sidecar;
    frozen.freeze();
    publish(*deployment, "data_centres/a", R"({"state": "out"})");
    const auto changed = steady_clock::now();
    std::this_thread::sleep_until(changed + out_bound);
    frozen.thaw();
    require_no_new_work(*deployment, "order-0", changed);
    require_no_faults(*deployment, load);
}

TEST_CASE("an endpoint that is out, or leaving by the list, receives no new work", "[invariant]") {
    const bool by_list = GENERATE(false, true);
    CAPTURE(by_list);
    const auto deployment = start_deployment({});
    running_load load{*deployment, mixed_load()};
    load.wait_whole(40);
    if (by_list) {
        deployment->slot("order-0").leaving = true;
        REQUIRE(deployment->publish_instances());
    } else {
        publish(*deployment, "endpoints/order-0", R"({"state": "out"})");
    }
    require_no_new_work(*deployment, "order-0", steady_clock::now());
    load.wait_whole(20);
    require_no_faults(*deployment, load);
}
