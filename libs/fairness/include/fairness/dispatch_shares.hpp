/// \file
/// Shares of the callers of one queue: of the workspaces within a priority, and of the priorities.
/// Pure: reads no clock.
#pragma once

#include "fairness/fair_share.hpp"
#include "fairness/priority_floor.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragefront::fairness {

/// Priority and workspace of work; the views must outlive their use.
using flow_view = std::pair<int, std::string_view>;

/// Order of the flows that wait at one moment.
struct flow_order {
    std::set<int> starved;                 ///< priorities whose work goes first
    std::map<flow_view, double> positions; ///< of deferred flows; see `fair_share::position`

    bool is_starved(int priority) const { return starved.contains(priority); }
    /// \returns 0 for a flow that is not deferred
    double position(const flow_view& flow) const;
};

/// A workspace began to be deferred, or has not been deferred for some time.
struct deferral_change {
    int priority{0};
    std::string workspace;
    bool deferred{false};
    double used_part{0}; ///< of what its priority used lately
};

/// What a workspace used lately.
struct workspace_use {
    int priority{0};
    std::string workspace;
    double used_part{0}; ///< of what its priority used lately
    bool deferred{false};
};

/// Shares of one queue.
class dispatch_shares {
public:
    /// Records work that arrived, whether or not it was accepted.
    /// \param cost in ms of an endpoint
    void record_arrival(int priority, double cost, time_point now);

    /// Records that work was started.
    void charge(const flow_view& flow, double cost, time_point now);

    /// Orders the flows that have waiting work.
    /// \param tolerance cost of a full call; see `contention`
    flow_order order(const std::set<flow_view>& waiting, double tolerance, time_point now);

    /// Returns the changes since the last call of this function.
    std::vector<deferral_change> take_changes(time_point now);

    /// What each workspace used lately, by priority and name.
    std::vector<workspace_use> uses(time_point now) const;

private:
    using flow_key = std::pair<int, std::string>;
    void record_deferred(const flow_view& deferred, time_point now);

    std::map<int, fair_share> by_priority_;
    priority_floor floor_;
    std::map<flow_key, time_point> deferred_at_; // time of the last pass that deferred the flow
    std::vector<deferral_change> changes_;
    time_point purged_at_{};
};

} // namespace boragefront::fairness
