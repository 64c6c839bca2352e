#include "rolling_restart.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace boragefront::faults {
namespace {

constexpr seconds settling_time{2}; ///< for all entries to use a restarted sidecar again

void restart_gracefully(daemon_node& node, running_load& load) {
    INFO(node.id());
    node.terminate();
    const auto status = node.wait_exit(patience);
    REQUIRE(status);
    REQUIRE(*status == 0);
    REQUIRE(node.start());
    load.wait_whole(20);
}

load_options load_for(cluster& deployment) {
    std::vector<caller_request> mix{order_request(), stock_request()};
    const auto& slots = deployment.slots();
    if (std::any_of(slots.begin(), slots.end(),
                    [](const auto& slot) { return slot.spec.pool == "engines"; })) {
        mix.push_back(draft_request(false));
        mix.push_back(draft_request(true));
    }
    return {.mix = std::move(mix), .callers = 4, .seed = 9};
}

} // namespace

std::vector<call_record> restart_all_under_load(cluster& deployment) {
    running_load load{deployment, load_for(deployment)};
    load.wait_whole(40);
    for (auto& entry : deployment.entries()) {
        restart_gracefully(*entry.daemon, load);
        REQUIRE(deployment.wait_ready(patience));
    }
    for (auto& slot : deployment.slots()) {
        restart_gracefully(*slot.sidecar, load);
        // The next of a pool only when this one works again.
        INFO(slot.spec.id);
        const auto back = steady_clock::now();
        REQUIRE(
            wait_until(patience, [&] { return started_after(deployment, slot.spec.id, back); }));
        std::this_thread::sleep_for(settling_time);
    }
    return load.stop();
}

} // namespace boragefront::faults
