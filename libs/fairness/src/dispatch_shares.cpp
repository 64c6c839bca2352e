#include "fairness/dispatch_shares.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragefront::fairness {
namespace {

// Longer than the gaps between deferrals of a flow that alternates around its limit.
constexpr seconds time_until_restored{2};
constexpr seconds purge_interval{10};

} // namespace

double flow_order::position(const flow_view& flow) const {
    const auto found = positions.find(flow);
    return found == positions.end() ? 0 : found->second;
}

void dispatch_shares::record_arrival(int priority, double cost, time_point now) {
    floor_.record_arrival(priority, cost, now);
}

void dispatch_shares::charge(const flow_view& flow, double cost, time_point now) {
    const auto& [priority, workspace] = flow;
    by_priority_[priority].charge(workspace, cost, now);
    floor_.record_start(priority, cost, now);
    if (now - purged_at_ >= purge_interval) {
        purged_at_ = now;
        for (auto& [each, shares] : by_priority_) {
            shares.purge(now);
        }
    }
}

flow_order dispatch_shares::order(const std::set<flow_view>& waiting, double tolerance,
                                  time_point now) {
    std::map<int, std::size_t> flows_of_priority;
    for (const auto& [priority, workspace] : waiting) {
        ++flows_of_priority[priority];
    }
    flow_order order;
    for (const auto& [priority, flows] : flows_of_priority) {
        if (flows_of_priority.size() > 1 && floor_.is_starved(priority, now)) {
            order.starved.insert(priority);
        }
    }
    for (const auto& flow : waiting) {
        const auto shares = by_priority_.find(flow.first);
        const auto position =
            shares == by_priority_.end()
                ? 0
                : shares->second.position(flow.second, {flows_of_priority[flow.first], tolerance},
                                          now);
        if (position > 0) {
            order.positions.emplace(flow, position);
            record_deferred(flow, now);
        }
    }
    return order;
}

void dispatch_shares::record_deferred(const flow_view& deferred, time_point now) {
    const auto& [priority, workspace] = deferred;
    const auto [at, added] = deferred_at_.insert_or_assign({priority, std::string{workspace}}, now);
    if (added) {
        changes_.push_back({priority, at->first.second, true,
                            by_priority_.at(priority).used_part(workspace, now)});
    }
}

std::vector<deferral_change> dispatch_shares::take_changes(time_point now) {
    std::erase_if(deferred_at_, [&](const auto& item) {
        const auto& [flow, at] = item;
        if (now - at < time_until_restored) {
            return false;
        }
        changes_.push_back({flow.first, flow.second, false,
                            by_priority_.at(flow.first).used_part(flow.second, now)});
        return true;
    });
    return std::exchange(changes_, {});
}

std::vector<workspace_use> dispatch_shares::uses(time_point now) const {
    std::vector<workspace_use> uses;
    for (const auto& [priority, shares] : by_priority_) {
        for (const auto& [workspace, used_part] : shares.used_parts(now)) {
            uses.push_back(
                {priority, workspace, used_part, deferred_at_.contains({priority, workspace})});
        }
    }
    return uses;
}

} // namespace boragefront::fairness
