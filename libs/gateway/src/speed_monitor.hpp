/// \file
/// Tells operators which endpoints are slower or faster than their peers.
#pragma once

#include "balancing/endpoint_pool.hpp"
#include "base/metrics.hpp"
#include "capacity/speed_watch.hpp"

#include <map>
#include <string>

namespace boragefront::gateway {

/// Logs lasting changes of the endpoints' speed, and keeps a gauge for each endpoint whose speed is
/// below 0.8 or above 1.25.
class speed_monitor {
public:
    /// Reads the estimates of all pools; to be called several times per second.
    void update(const std::map<std::string, balancing::endpoint_pool, std::less<>>& pools,
                metrics_registry& metrics, time_point now);

private:
    capacity::speed_watch watch_;
    std::set<std::string> gauges_; // labels of those that exist
};

} // namespace boragefront::gateway
