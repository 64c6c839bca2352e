/// \file
/// The commands that ask running processes, against a real deployment.
#include "support/cluster.hpp"
#include "support/run_program.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::support;

namespace {

constexpr seconds patience{60};

cluster_spec one_of_each() {
    cluster_spec spec;
    spec.configuration = {
        {"profiles/orders", "{}"},
        {"pools/workers", R"({"kind": "plain", "profile": "orders"})"},
        {"services/orders", R"({"kind": "plain", "pool": "workers", "profile": "orders"})"}};
    spec.endpoints = {{"worker-1", "workers", "oaxaca-ctr"}};
    spec.entries = {{"entry-1", "oaxaca-ctr"}};
    return spec;
}

// Runs the tool until it succeeds, as the state that it asks for takes a moment to come.
program_outcome ctl_until_good(const std::vector<std::string>& arguments) {
    const auto limit = steady_clock::now() + patience;
    auto outcome = run_program(BORAGEFRONTCTL, arguments);
    while (outcome.status != 0 && steady_clock::now() < limit) {
        outcome = run_program(BORAGEFRONTCTL, arguments);
    }
    return outcome;
}

} // namespace

TEST_CASE("status, dump, metrics, explain and rollout of real processes") {
    auto started = cluster::start(one_of_each());
    REQUIRE(started);
    auto& deployment = *started.value();
    REQUIRE(deployment.wait_ready(patience));
    const auto& entry = deployment.entry("entry-1").control_address();
    const auto& sidecar = deployment.slot("worker-1").sidecar->control_address();
    const auto peers = entry + "," + sidecar;

    const auto published = deployment.publish("endpoints/worker-1", R"({"state": "out"})");
    REQUIRE(published);
    const auto rollout = ctl_until_good(
        {"config", "rollout", "--peers", peers, "--revision", std::to_string(published.value())});
    CAPTURE(rollout.output, rollout.errors);
    REQUIRE(rollout.status == 0);

    const auto status = run_program(BORAGEFRONTCTL, {"status", "--json", "--peers", peers});
    const auto processes = boost::json::parse(status.output).at("processes").as_array();
    REQUIRE(processes.at(0).at("role") == "entry");
    REQUIRE(processes.at(1).at("id") == "worker-1");
    REQUIRE(processes.at(1).at("revision").to_number<revision>() == published.value());

    const auto explained = ctl_until_good({"explain", entry, "workers"});
    CAPTURE(explained.output, explained.errors);
    REQUIRE_THAT(explained.output, Catch::Contains("worker-1") && Catch::Contains("  out"));

    for (const auto& address : {entry, sidecar}) {
        REQUIRE(boost::json::parse(run_program(BORAGEFRONTCTL, {"dump", address}).output)
                    .at("role_state")
                    .is_object());
        REQUIRE_THAT(run_program(BORAGEFRONTCTL, {"metrics", address}).output,
                     Catch::Contains("boragefront_config_revision"));
    }
}
