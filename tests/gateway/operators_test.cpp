// What the operators' tool tells of a gateway.
#include "deployment.hpp"
#include "support/run_program.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::gateway_tests;
using support::run_program;

TEST_CASE("explain, status and dump tell of a gateway and its endpoints") {
    deployment system;
    system.publish_configuration();
    system.add_endpoint("i-1", "plain");
    auto& leaving = system.add_endpoint("i-2", "plain");
    system.register_again(leaving, "plain", "draining");
    auto& gateway = system.start_ready_gateway();
    REQUIRE(system.call(gateway, deployment::make_request("plain.example", "r1")));
    const auto address = gateway.node->control_address();

    const auto explained = run_program(BORAGEFRONTCTL, {"explain", address, "plain"});
    INFO(explained.output << explained.errors);
    CHECK(explained.status == 0);
    CHECK_THAT(explained.output,
               Catch::StartsWith("API keys: needed (accepted: 1, workspaces: 1)\n"));
    CHECK_THAT(explained.output, Catch::Matches("(.|\n)*i-1 +a .*may be chosen\n(.|\n)*"));
    CHECK_THAT(explained.output, Catch::Matches("(.|\n)*i-2 +a .*- +draining\n(.|\n)*"));
    const auto unknown = run_program(BORAGEFRONTCTL, {"explain", address, "no-such-service"});
    CHECK(unknown.status != 0);
    CHECK_THAT(unknown.errors, Catch::Contains("knows no endpoint of pool no-such-service"));

    const auto status = run_program(BORAGEFRONTCTL, {"status", "--json", "--peers", address});
    CHECK(status.status == 0);
    CHECK_THAT(status.output, Catch::Contains("gateway-1"));

    const auto dump = run_program(BORAGEFRONTCTL, {"dump", address});
    CHECK(dump.status == 0);
    const auto read = boost::json::parse(dump.output);
    CHECK(read.at("role_state").at("config_version") == 7);
    CHECK(read.at("role_state").at("needs_api_keys") == true);
    CHECK(read.at("role_state").at("workspaces") == 1);
    CHECK(read.at("role_state").at("api_keys") == 1);
    CHECK(read.at("role_state").at("endpoints").as_array().size() == 2);
}
