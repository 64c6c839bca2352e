// Endpoints that announce in their responses how many requests per second they accept.
#include "deployment.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr seconds window{4};
constexpr milliseconds told_after{500}; // from a response to the moment from which it binds
constexpr milliseconds between_requests{8};

double allowed(double limit) {
    return 1.5 * limit * std::chrono::duration<double>(window).count() + 5;
}

// Most requests that reached the endpoint in any window, beginning half a second after the first.
std::size_t most_in_window(deployment& system, endpoint_stand_in& endpoint) {
    std::vector<time_point> arrivals;
    system.on_loop([&] {
        for (const auto& visit : endpoint.visits()) {
            arrivals.push_back(visit.at);
        }
    });
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    for (const auto& from : arrivals) {
        if (from >= arrivals.front() + told_after) {
            most = std::max<std::size_t>(
                most, static_cast<std::size_t>(
                          std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& at) {
                              return at >= from && at < from + window;
                          })));
        }
    }
    return most;
}

using make_message = std::function<http::request(const std::string& id)>;

// Sends requests to the gateways in turn.
void send_for(deployment& system, const std::vector<running_gateway*>& gateways, milliseconds time,
              const make_message& make) {
    static int next_id = 0;
    const auto until = steady_clock::now() + time;
    for (std::size_t i = 0; steady_clock::now() < until; ++i) {
        (void)system.call_lines(*gateways[i % gateways.size()],
                                make("limit-" + std::to_string(next_id++)));
        std::this_thread::sleep_for(between_requests);
    }
}

make_message to_host(const std::string& host) {
    return [host](const std::string& id) { return deployment::make_request(host, id); };
}

} // namespace

// Guards against an endpoint in need that gets as many requests as its fellows, from one entry and
// from several that each use the whole limit.
TEST_CASE("an endpoint that announces a limit gets no more from all entries, and not nothing",
          "[invariant]") {
    const auto entries = GENERATE(1, 3);
    const auto* const host = GENERATE("plain.example", "stream.example");
    INFO(entries << " entries, " << host);
    const std::string service = host == std::string{"plain.example"} ? "plain" : "model";
    deployment system;
    system.publish_configuration();
    auto& limited = system.add_endpoint("i-1", service);
    auto& other = system.add_endpoint("i-2", service);
    system.on_loop([&] {
        limited.limit = "1.5";
        limited.events = other.events = service == "model" ? 2 : 0;
        other.work = milliseconds{20}; // the limited one is the better choice
    });
    std::vector<running_gateway*> gateways;
    gateways.reserve(static_cast<std::size_t>(entries));
    for (int i = 0; i < entries; ++i) {
        gateways.push_back(&system.start_ready_gateway());
    }
    send_for(system, gateways, seconds{7}, to_host(host));
    CHECK(static_cast<double>(most_in_window(system, limited)) <= allowed(1.5));
    CHECK(most_in_window(system, limited) >= 3);
}

// Guards against calls for pieces that are not counted.
TEST_CASE("a stage endpoint that announces a limit gets no more calls", "[invariant]") {
    deployment system;
    system.publish_configuration();
    auto& limited = system.add_endpoint("i-1", "first");
    system.add_endpoint("i-2", "first");
    system.add_endpoint("i-3", "second");
    auto& model = system.add_endpoint("i-4", "model");
    system.on_loop([&] {
        limited.limit = "1";
        model.events = 2;
    });
    auto& gateway = system.start_ready_gateway();
    send_for(system, {&gateway}, seconds{7}, [](const std::string& id) {
        return deployment::make_staged_request("staged.example", id, "1,1");
    });
    CHECK(static_cast<double>(most_in_window(system, limited)) <= allowed(1));
}

// Guards against callers that wait for an endpoint that takes nothing, and against a limit that
// outlasts its announcement or that ends at a value that can't be read.
TEST_CASE("what a limit leaves no room for is refused at once until the limit ends") {
    deployment system;
    system.publish_configuration();
    auto& only = system.add_endpoint("i-1", "plain");
    system.on_loop([&] { only.limit = "0.5"; });
    auto& gateway = system.start_ready_gateway();
    const auto call = [&](const std::string& id) {
        const auto began_at = steady_clock::now();
        const auto answer = system.call(gateway, deployment::make_request("plain.example", id));
        REQUIRE(answer);
        CHECK(steady_clock::now() - began_at < milliseconds{300});
        return answer.value();
    };
    CHECK(call("first").status == 200);
    (void)call("second");
    const auto refused = call("third");
    CHECK(refused.status == 503);
    CHECK(refused.headers.has("Retry-After"));
    system.on_loop([&] { only.limit = "many"; });
    std::this_thread::sleep_for(milliseconds{4'200});
    CHECK(call("junk").status == 200);
    CHECK(call("after-junk").status == 503);
    system.on_loop([&] { only.limit.clear(); });
    std::this_thread::sleep_for(milliseconds{2'200});
    CHECK(call("ends").status == 200);
    for (int i = 0; i < 5; ++i) {
        CHECK(call("ended-" + std::to_string(i)).status == 200);
    }
}
