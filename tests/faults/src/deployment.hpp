/// \file
/// What the fault tests do with a deployment; failures fail the Catch2 test.
#pragma once

#include "deployment_spec.hpp"
#include "support/wait_until.hpp"

#include <memory>
#include <string>
#include <vector>

namespace boragefront::faults {

/// Starts a deployment and waits until it answers.
std::unique_ptr<cluster> start_deployment(const deployment_options& options);

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

/// Starts at one endpoint later than `after`.
std::size_t starts_after(cluster& deployment, std::string_view endpoint, time_point after);

/// Whether the endpoint has started work later than `after`.
inline bool started_after(cluster& deployment, std::string_view endpoint, time_point after) {
    return starts_after(deployment, endpoint, after) > 0;
}

} // namespace boragefront::faults
