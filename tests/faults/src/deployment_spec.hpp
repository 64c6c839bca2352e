/// \file
/// The deployments that the fault tests run and the requests that they make.
#pragma once

#include "support/caller.hpp"
#include "support/checker.hpp"
#include "support/cluster.hpp"

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

caller_request order_request();
caller_request stock_request();
caller_request draft_request(bool stream);

/// Waits until every entry that runs says that it is ready and has answered one request.
result<void> wait_serving(cluster& deployment, const caller_request& asked);

/// The verdict on a load that has been stopped.
verdict judge(cluster& deployment, const std::vector<call_record>& answers);

} // namespace boragefront::faults
