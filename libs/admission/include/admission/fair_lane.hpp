/// \file
/// One priority lane of queued work, shared between workspaces by weight.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/types.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::admission {

/// Work queued for dispatch to the endpoint.
struct waiting_work {
    work_id id;
    config::lane lane{config::lane::normal};
    std::string workspace;
    double share{1.0};       ///< weight of the workspace, above 0
    time_point expires_at{}; ///< not dispatched at or after this time
};

/// Start-time fair queueing: the work of one workspace is dispatched in order of arrival, and
/// backlogged workspaces are served in proportion to their shares.
class fair_lane {
public:
    /// \param fair false only in tests: the lane is then first come, first served.
    explicit fair_lane(bool fair = true) : fair_{fair} {}

    std::size_t size() const { return size_; }

    /// Number of items that would be dispatched before work of this workspace that arrived now.
    std::size_t ahead_of(std::string_view workspace) const;

    /// The workspace with the largest backlog relative to its share; empty if the lane is empty.
    std::string_view most_backlogged_workspace() const;

    /// The share of a workspace with queued work; 1 for any other workspace.
    double share_of(std::string_view workspace) const;

    /// Number of queued items of a workspace, divided by its share.
    double backlog(std::string_view workspace, double share) const;

    void push(waiting_work added);

    /// Removes and returns the next item in dispatch order.
    std::optional<waiting_work> pop();

    /// Removes and returns the newest item of a workspace.
    std::optional<waiting_work> take_newest(std::string_view workspace);

    /// Removes one item. \returns whether it was queued.
    bool remove(const work_id& id);

    /// Removes and returns all items that satisfy `predicate`.
    std::vector<waiting_work> take_if(const std::function<bool(const waiting_work&)>& predicate);

private:
    struct tagged {
        waiting_work work;
        double start{0}; ///< virtual start time
    };
    struct flow {
        std::deque<tagged> waiting;
        double last_finish{0}; ///< virtual finish time of the newest item
        double share{1.0};
    };
    using flow_map = std::map<std::string, flow, std::less<>>;

    double start_tag(std::string_view workspace) const;
    void remove_idle_flows();

    bool fair_;
    flow_map flows_;
    double virtual_time_{0};
    double arrivals_{0};
    std::size_t size_{0};
};

} // namespace boragefront::admission
