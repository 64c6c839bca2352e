/// \file
/// Established connections that go silent for good hold no request past its deadline.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

constexpr milliseconds deadline{2'000};
constexpr milliseconds margin{1'000}; ///< for a busy machine

} // namespace

TEST_CASE("requests on connections that went silent are resolved by their deadline",
          "[invariant]") {
    const auto deployment = start_deployment({.relayed = true, .order_service_ms = 30});
    auto order = order_request();
    order.deadline = deadline;
    auto stock = stock_request();
    stock.deadline = deadline;
    running_load load{*deployment, {.mix = {order, stock}, .callers = 8, .seed = 17}};
    for (unsigned round = 0; round < 3; ++round) {
        load.wait_whole(40);
        for (auto& slot : deployment->slots()) {
            REQUIRE(slot.relay->set_faults(R"({"mode": "swallow_established"})"));
        }
    }
    load.wait_whole(40);
    const auto answers = load.stop();
    const auto judged = judge(*deployment, answers);
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
    for (const auto& answer : answers) {
        INFO(answer.asked.service << ' ' << answer.kind << ' ' << answer.detail);
        REQUIRE(answer.status != 0);
        REQUIRE(answer.ended - answer.sent < deadline + margin);
    }
}
