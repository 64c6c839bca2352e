// Endpoints that refuse requests whose inputs are lost, to many requests at once.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int callers = 6;
constexpr int requests_each = 12;
constexpr int requests = callers * requests_each;

} // namespace

// A request that was refused for lost inputs was sent again without a retry from the budget.
TEST_CASE("requests whose inputs are lost are sent again within the retry budget", "[invariant]") {
    deployment system;
    system.publish_configuration();
    system.add_endpoint("f-1", "first");
    system.add_endpoint("s-1", "second");
    auto& model = system.add_endpoint("m-1", "model");
    system.on_loop([&] { model.set_mode(endpoint_mode::inputs_gone); });
    auto& gateway = system.start_ready_gateway();
    std::vector<std::thread> threads;
    threads.reserve(callers);
    std::atomic<int> refused{0};
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int i = 0; i < requests_each; ++i) {
                const auto id = "r" + std::to_string(caller) + "-" + std::to_string(i);
                const auto answer = system.call(
                    gateway, deployment::make_staged_request("staged-once.example", id, "1,1"));
                refused += answer && answer.value().status == 503 ? 1 : 0;
            }
        });
    }
    for (auto& one : threads) {
        one.join();
    }
    const settings::gateway_settings role;
    const auto arrivals = system.on_loop([&] { return model.visits().size(); });
    CHECK(static_cast<double>(arrivals) - requests <=
          role.retry_ratio * requests + role.retry_slack);
    CHECK(arrivals > requests); // some were sent again
    CHECK(refused == requests);
}
