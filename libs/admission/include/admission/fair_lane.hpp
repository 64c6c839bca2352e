/// \file
/// One lane of waiting work, shared between workspaces by weight.
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

/// Work that waits for its turn at the endpoint.
struct waiting_work {
    work_id id;
    config::lane lane{config::lane::normal};
    std::string workspace;
    double share{1.0};       ///< weight of the workspace, above 0
    time_point expires_at{}; ///< not dispatched at or after this
};

/// Start-time fair queueing: each workspace's work is in order of arrival, and a workspace that
/// waits is served in proportion to its share.
class fair_lane {
public:
    /// \param fair false only in tests: the lane is then first come, first served.
    explicit fair_lane(bool fair = true) : fair_{fair} {}

    std::size_t size() const { return size_; }

    /// How many would be served before work of this workspace that arrived now.
    std::size_t ahead_of(std::string_view workspace) const;

    /// The workspace that waits with the most work for its share, or an empty view.
    std::string_view longest_workspace() const;

    /// The share of a workspace that waits; 1 for one that does not.
    double share_of(std::string_view workspace) const;

    /// Waiting work of a workspace over its share.
    double backlog(std::string_view workspace, double share) const;

    void push(waiting_work added);

    /// Takes the next in turn.
    std::optional<waiting_work> pop();

    /// Takes the newest work of a workspace.
    std::optional<waiting_work> take_newest(std::string_view workspace);

    /// Takes one piece of work. \returns whether it was waiting.
    bool remove(const work_id& id);

    /// Takes all work for which `wanted` holds.
    std::vector<waiting_work> take_if(const std::function<bool(const waiting_work&)>& wanted);

private:
    struct tagged {
        waiting_work work;
        double start{0}; ///< virtual time at which its turn begins
    };
    struct flow {
        std::deque<tagged> waiting;
        double last_finish{0}; ///< virtual time at which its latest turn ends
        double share{1.0};
    };
    using flow_map = std::map<std::string, flow, std::less<>>;

    double start_tag(std::string_view workspace) const;
    void forget_idle_flows();

    bool fair_;
    flow_map flows_;
    double virtual_time_{0};
    double arrivals_{0};
    std::size_t size_{0};
};

} // namespace boragefront::admission
