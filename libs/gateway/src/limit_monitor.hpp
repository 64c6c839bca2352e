/// \file
/// Tells operators which endpoints announce a limit, and this entry's share of it.
#pragma once

#include "balancing/endpoint_pool.hpp"
#include "base/metrics.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace boragefront::gateway {

/// Logs limits that begin, change or end, also by a change of this entry's share, and keeps gauges
/// of the limits in force.
class limit_monitor {
public:
    /// Reads the limits of all pools; to be called several times per second.
    void update(const std::map<std::string, balancing::endpoint_pool, std::less<>>& pools,
                const balancing::entry_group& group, metrics_registry& metrics, time_point now);

private:
    using limit_key = std::pair<std::string, std::string>; // service, endpoint

    void log_change_of(const limit_key& key, const balancing::limit_description* before,
                       const balancing::limit_description* now) const;

    std::map<limit_key, balancing::limit_description> known_; // as last logged
};

} // namespace boragefront::gateway
