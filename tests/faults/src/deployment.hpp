/// \file
/// The deployments that the fault tests run, and what they do with them.
#pragma once

#include "support/caller.hpp"
#include "support/checker.hpp"
#include "support/cluster.hpp"
#include "support/wait_until.hpp"

#include <memory>
#include <string>
#include <vector>

namespace boragefront::faults {

using namespace support;

/// Limits that the endpoints have and the published profiles allow.
constexpr std::size_t concurrency_limit = 4;
constexpr std::size_t cold_limit = 2;

/// Patience for whatever has no bound of its own in the invariants.
constexpr seconds patience{30};

/// A control change is in force everywhere within this time.
constexpr seconds configuration_bound{7};

/// No new work starts at what is out or leaving after this time.
constexpr seconds out_bound{3};

struct deployment_options {
    unsigned entries{2};
    unsigned order_workers{3}; ///< dealt to the data centres a, b and c in turn
    unsigned engines{0};       ///< endpoints of each model pool, dealt likewise; 0 for none
    bool relayed{false};       ///< a relay before every sidecar
    unsigned order_service_ms{10};
    unsigned order_jitter_ms{10};
    unsigned warm_after{4}; ///< completed runs until an endpoint is warm
    milliseconds readiness_grace{1'000};
};

/// Order workers `order-0`..., and with engines the pools of a pipeline of four stages.
cluster_spec make_spec(const deployment_options& options);

/// Starts a deployment and waits until it answers.
std::unique_ptr<cluster> start_deployment(const deployment_options& options);

caller_request order_request();
caller_request stock_request();
caller_request draft_request(bool stream);

/// Callers at work on a deployment.
class running_load {
public:
    running_load(cluster& deployment, load_options options)
        : entries_{deployment.entry_addresses()}, load_{std::move(options), entries_} {}

    /// Waits until `count` more calls have ended whole. Fails the test if that takes too long.
    void wait_whole(std::size_t count);

    /// Stops the callers. \returns all records.
    std::vector<call_record> stop() { return load_.stop(); }

private:
    balancer entries_;
    caller_load load_;
};

/// Publishes a value; fails the test if the platform refuses it.
void publish(cluster& deployment, const std::string& key, const std::string& value);

/// The verdict on a load that has been stopped. Gives the runs in progress time to be recorded.
verdict judge(cluster& deployment, const std::vector<call_record>& answers);

/// Starts at one endpoint later than `after`.
std::size_t starts_after(cluster& deployment, std::string_view endpoint, time_point after);

/// Whether the endpoint has started work later than `after`.
inline bool started_after(cluster& deployment, std::string_view endpoint, time_point after) {
    return starts_after(deployment, endpoint, after) > 0;
}

} // namespace boragefront::faults
