/// \file
/// A refusal that says "not run" is true.
#include "src/deployment.hpp"

#include <catch2/catch.hpp>

using namespace boragefront;
using namespace boragefront::faults;

namespace {

// Deadlines about as long as the work takes, so that refusals race with dispatch.
load_options tight_load(std::uint64_t seed) {
    std::vector<caller_request> mix;
    for (const auto deadline : {15, 40, 80, 160, 600}) {
        for (auto asked : {order_request(), stock_request()}) {
            asked.deadline = milliseconds{deadline};
            mix.push_back(asked);
        }
    }
    return {.mix = std::move(mix), .callers = 24, .pause = milliseconds{1}, .seed = seed};
}

const deployment_options tight{.order_service_ms = 20, .order_jitter_ms = 40};

void require_true(cluster& deployment, running_load& load) {
    const auto answers = load.stop();
    // What was refused must not run later either.
    std::this_thread::sleep_for(seconds{1});
    const auto judged = judge(deployment, answers);
    WARN(to_string(judged));
    REQUIRE(judged.faults.empty());
    REQUIRE(judged.not_run > 0);
}

} // namespace

TEST_CASE("refusals that race with dispatch and deadlines are true", "[invariant]") {
    const auto seed = GENERATE(21, 22);
    CAPTURE(seed);
    const auto deployment = start_deployment(tight);
    running_load load{*deployment, tight_load(static_cast<std::uint64_t>(seed))};
    load.wait_whole(300);
    require_true(*deployment, load);
}

TEST_CASE("refusals that race with a sidecar's freeze are true", "[invariant]") {
    const auto deployment = start_deployment(tight);
    running_load load{*deployment, tight_load(23)};
    load.wait_whole(60);
    for (auto& slot : deployment->slots()) {
        slot.sidecar->freeze();
        std::this_thread::sleep_for(milliseconds{700});
        slot.sidecar->thaw();
        load.wait_whole(40);
    }
    require_true(*deployment, load);
}

TEST_CASE("refusals that race with entries that are killed are true", "[invariant]") {
    const auto deployment = start_deployment(tight);
    running_load load{*deployment, tight_load(24)};
    load.wait_whole(60);
    for (auto& entry : deployment->entries()) {
        entry.daemon->kill();
        REQUIRE(entry.daemon->start());
        load.wait_whole(40);
    }
    require_true(*deployment, load);
}
