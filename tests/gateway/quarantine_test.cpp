// Engines that crash when they begin to answer a prompt with a certain part.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr int engines = 6;
constexpr milliseconds downtime{1'000};
constexpr milliseconds round_pause{200}; // between requests that crash engines

struct crashing_deployment {
    crashing_deployment() {
        system.publish_configuration();
        for (int i = 1; i <= engines; ++i) {
            endpoints.push_back(&system.add_endpoint("i-" + std::to_string(i), "model"));
        }
        system.on_loop([&] {
            for (auto* const endpoint : endpoints) {
                endpoint->events = 3;
                endpoint->crashes_on = "deadly";
            }
        });
        gateways = {&system.start_ready_gateway(), &system.start_ready_gateway()};
    }

    // Sends a request with this prompt to one of the gateways.
    result<support::line_answer> send(const std::string& prompt) {
        const auto number = std::to_string(++sent);
        auto request = deployment::make_request("stream.example", "r" + number);
        request.headers.add("Boragefront-Prefix-Hash", prompt + ",last" + number + ":10");
        return system.call_lines(*gateways[static_cast<std::size_t>(sent) % gateways.size()],
                                 std::move(request));
    }

    // Starts the engines that have crashed again, after some time.
    int restart_crashed() {
        int restarted = 0;
        for (auto* const endpoint : endpoints) {
            if (system.on_loop([&] { return endpoint->restart_if_crashed(downtime); })) {
                system.register_again(*endpoint, "model", "ready");
                ++restarted;
            }
        }
        return restarted;
    }

    deployment system;
    std::vector<endpoint_stand_in*> endpoints;
    std::vector<running_gateway*> gateways;
    int sent{0};
};

bool is_whole(const result<support::line_answer>& answer) {
    return answer && answer.value().head.status == 200 && !answer.value().broken;
}

} // namespace

// Requests with one part crashed engine after engine: each was sent to a second one, and the next
// request with the part to a third. If the first event had arrived, that went on without end.
TEST_CASE("a part of a prompt that crashes engines is not sent on", "[invariant]") {
    const int crashes_after = GENERATE(0, 1);
    INFO("crashes after " << crashes_after << " events");
    crashing_deployment fleet;
    fleet.system.on_loop([&] {
        for (auto* const endpoint : fleet.endpoints) {
            endpoint->crashes_after = crashes_after;
        }
    });
    int crashes = 0;
    int sound = 0;
    constexpr int rounds = 40;
    constexpr int sound_per_round = 3;
    for (int round = 0; round < rounds; ++round) {
        (void)fleet.send("common:10,deadly:10");
        crashes += fleet.restart_crashed();
        for (int i = 0; i < sound_per_round; ++i) {
            sound += is_whole(fleet.send("common:10,subject:10")) ? 1 : 0;
        }
        std::this_thread::sleep_for(round_pause);
    }
    std::this_thread::sleep_for(downtime);
    crashes += fleet.restart_crashed();
    // The fifth crash tells the part, and three requests may be on their way.
    CHECK(crashes <= 5 + 3);
    CHECK(sound >= rounds * sound_per_round / 2);
    const auto refused = fleet.send("common:10,deadly:10");
    REQUIRE(refused);
    CHECK(refused.value().head.status == 503);
    CHECK(refused.value().head.headers.has("Retry-After"));
    CHECK(is_whole(fleet.send("common:10,subject:10")));
}
