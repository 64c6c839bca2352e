// Endpoints that send a response a second time, where the response to the next request is due.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr auto pieces = "1,2";

struct repeating_pipeline : deployment {
    repeating_pipeline() {
        publish_configuration();
        on_loop([&] { model.events = 3; });
    }

    std::ptrdiff_t runs_of(const std::string& id) {
        return on_loop([&] {
            const auto& visits = model.visits();
            return std::count_if(visits.begin(), visits.end(),
                                 [&](const auto& visit) { return visit.ran && visit.id == id; });
        });
    }

    // Ids of requests that were sent to the model with results of other requests.
    std::vector<std::string> mixed_up_requests() {
        return on_loop([&] {
            std::map<std::string, std::string> request_of; // by handle
            for (const auto& visit : second.visits()) {
                for (const auto& made : visit.made) {
                    request_of[made.handle] = made.request_id;
                }
            }
            std::vector<std::string> mixed_up;
            for (const auto& visit : model.visits()) {
                std::istringstream inputs{
                    std::string{visit.message.headers.get("Boragefront-Inputs")}};
                for (std::string handle; std::getline(inputs, handle, ',');) {
                    if (request_of[handle] != visit.id) {
                        mixed_up.push_back(visit.id);
                    }
                }
            }
            return mixed_up;
        });
    }

    endpoint_stand_in& first{add_endpoint("f-1", "first")};
    endpoint_stand_in& second{add_endpoint("s-1", "second")};
    endpoint_stand_in& model{add_endpoint("m-1", "model")};
};

} // namespace

// A copy of the refusal of a request's first attempt was taken for the answer to its second one.
TEST_CASE_METHOD(repeating_pipeline,
                 "trouble: a request runs once though its refusal comes a second time",
                 "[invariant]") {
    auto& gateway = start_ready_gateway();
    const std::string host{"staged-once.example"};
    for (int i = 0; i < 3; ++i) {
        const auto id = "r" + std::to_string(i);
        REQUIRE(call_lines(gateway, make_staged_request(host, "before-" + id, pieces)));
        on_loop([&] {
            model.repeats_responses = true;
            model.set_mode(endpoint_mode::inputs_gone, 1);
        });
        const auto answer = call_lines(gateway, make_staged_request(host, id, pieces));
        REQUIRE(answer);
        CHECK_FALSE(answer.value().broken);
        CHECK(runs_of(id) == 1);
    }
}

// A copy of an earlier response was taken for the response to a call for other pieces, once the
// handles in it were not remembered any more.
TEST_CASE_METHOD(repeating_pipeline,
                 "trouble: results that come a second time after a quiet time go to no request",
                 "[invariant]") {
    constexpr milliseconds quiet{5'500};
    auto& gateway = start_ready_gateway();
    REQUIRE(call_lines(gateway, make_staged_request("staged.example", "r1", pieces)));
    on_loop([&] { second.repeats_responses = true; });
    std::this_thread::sleep_for(quiet);
    for (int i = 2; i < 6; ++i) {
        REQUIRE(call_lines(gateway,
                           make_staged_request("staged.example", "r" + std::to_string(i), pieces)));
    }
    CHECK(mixed_up_requests().empty());
}
