// Published state that takes long to transfer reaches entries whose links are slow.
#include "deployment.hpp"
#include "published_configuration.hpp"
#include "slow_link.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway_tests;

namespace {

constexpr milliseconds part_delay{16};     // of a link that carries 1 MB/s
constexpr milliseconds in_force_in{8'000}; // several times what one transfer takes on that link
constexpr unsigned many_routes = 6'000;    // about 1.5 MB
const std::string no_store = "127.0.0.1:1";

// A configuration of this many routes, one for each of as many hosts, beside the usual ones.
std::string large_configuration(const std::string& plain_service, unsigned version,
                                unsigned routes) {
    auto value = boost::json::parse(configuration_text(plain_service, version));
    auto& listed = value.at("routes").as_array();
    for (unsigned i = 0; i < routes; ++i) {
        const auto number = std::to_string(i);
        listed.push_back(boost::json::object{{"name", "added-route-" + number},
                                             {"host", "added-" + number + ".example"},
                                             {"prefix", "/some/longer/path/" + number + "/"},
                                             {"kind", "idempotent"},
                                             {"service", "other"},
                                             {"timeout_ms", 3'000},
                                             {"target_latency_ms", 500},
                                             {"max_attempts", 2},
                                             {"priority", 3}});
    }
    return boost::json::serialize(value);
}

bool within(milliseconds time, const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + time;
    while (!condition()) {
        if (steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
    return true;
}

bool runs_at(deployment& system, const running_gateway& gateway, endpoint_stand_in& endpoint) {
    const auto before = system.on_loop([&] { return endpoint.runs(); });
    (void)system.call(gateway, deployment::make_request("plain.example", "probe"));
    return system.on_loop([&] { return endpoint.runs(); }) > before;
}

} // namespace

// Guards against an entry that serves by an old configuration for as long as the store does not
// reach it, because no answer of a peer arrives within the time of one gossip call.
TEST_CASE("an entry learns a large configuration from a peer over a slow link", "[invariant]") {
    deployment system;
    system.publish_configuration("plain", 5);
    (void)system.add_endpoint("i-1", "plain");
    auto& other = system.add_endpoint("i-2", "other");
    const auto& first = system.start_ready_gateway();
    const hidden_peer way{first.node->control_address(), part_delay};
    system.add_seed(way.address());
    auto& cut_off = system.start_ready_stranger(no_store);
    system.publish_text(large_configuration("other", 6, many_routes));
    CHECK(within(in_force_in, [&] { return runs_at(system, first, other); }));
    CHECK(within(in_force_in, [&] { return runs_at(system, cut_off, other); }));
}

// Guards against an entry that is never ready because a listing takes longer than one call to the
// store may take.
TEST_CASE("an entry lists a large configuration over a slow link", "[invariant]") {
    deployment system;
    system.publish_text(large_configuration("plain", 5, 2 * many_routes));
    auto& endpoint = system.add_endpoint("i-1", "plain");
    const slow_link link{system.on_loop([&] { return system.store().address(); }), part_delay};
    const auto& gateway = system.start_gateway(link.address());
    CHECK(within(2 * in_force_in, [&] { return system.is_ready(gateway); }));
    CHECK(runs_at(system, gateway, endpoint));
}
