#include "traffic_state.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::gateway {

traffic_state::traffic_state(settings::gateway_settings role, std::string self_id,
                             std::string data_centre, metrics_registry& metrics)
    : role_{std::move(role)}, self_id_{std::move(self_id)},
      data_centre_{std::move(data_centre)}, metrics_{metrics} {
    group_ = {self_id_, {self_id_}};
}

void traffic_state::publish(std::shared_ptr<const indexed_snapshot> next, time_point now) {
    current_ = std::move(next);
    const auto& published = current_->published;
    const auto& services = published.config->services;
    for (const auto& [name, service] : services) {
        pools_[name].set_endpoints(published.endpoints, published.evacuated, service, now);
    }
    std::erase_if(pools_, [&](const auto& one) { return !services.contains(one.first); });
}

void traffic_state::set_fleet(fleet_view view) {
    fleet_ = std::move(view);
    group_.members = {self_id_};
    for (const auto& one : fleet_.serving) {
        group_.members.push_back(one.id);
    }
    // Entries that are believed to be there but are not known by name count as well.
    while (group_.members.size() < fleet_.entries_at_most) {
        group_.members.push_back("unknown-" + std::to_string(group_.members.size()));
    }
}

balancing::endpoint_pool* traffic_state::pool(std::string_view service) {
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : &found->second;
}

balancing::cold_limit traffic_state::cold_limit_of(std::string_view service) const {
    const auto& services = current_->published.config->services;
    const auto found = services.find(service);
    const double per_second = found == services.end() ? 0 : found->second.cold_requests_per_second;
    return {per_second, role_.cold_tolerance, role_.cold_slack};
}

balancing::retry_limit traffic_state::retry_limit() const {
    return {role_.retry_ratio, role_.retry_slack, role_.retry_window};
}

std::optional<std::set<std::string>>
traffic_state::home_data_centres(const std::vector<std::string>& of_route,
                                 const std::vector<std::string>& of_workspace) const {
    if (of_route.empty() && of_workspace.empty()) {
        return std::nullopt;
    }
    const auto allows = [](const std::vector<std::string>& homes, const std::string& region) {
        return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
    };
    std::set<std::string> allowed;
    for (const auto& [data_centre, region] : role_.region_of) {
        if (allows(of_route, region) && allows(of_workspace, region)) {
            allowed.insert(data_centre);
        }
    }
    return allowed;
}

std::string traffic_state::stage_endpoint_at(std::string_view address) const {
    if (current_ == nullptr) {
        return {};
    }
    const auto& published = current_->published;
    for (const auto& one : published.endpoints) {
        if (one.address != address || one.removed_at) {
            continue;
        }
        const auto service = published.config->services.find(one.service);
        const bool makes_pieces =
            service != published.config->services.end() && service->second.stages.has_value();
        return makes_pieces ? one.id : std::string{};
    }
    return {};
}

std::string traffic_state::home_data_centre(const catalog::route& route,
                                            std::string_view shared) const {
    const auto dearest = std::max_element(
        route.stages.begin(), route.stages.end(),
        [](const auto& a, const auto& b) { return a.result_bytes < b.result_bytes; });
    if (shared.empty() || dearest == route.stages.end() ||
        dearest->result_bytes < dear_to_move_bytes) {
        return {};
    }
    const auto& published = current_->published;
    std::string home;
    std::uint64_t best = 0;
    for (const auto& one : published.endpoints) {
        const bool serves = one.service == dearest->service && !one.removed_at &&
                            one.state == catalog::endpoint_state::ready &&
                            !published.evacuated.contains(one.data_centre);
        const auto score = serves ? rendezvous_score(shared, one.id) : 0;
        if (score > best) {
            best = score;
            home = one.data_centre;
        }
    }
    return home;
}

std::string traffic_state::data_centre_of(std::string_view address) const {
    if (current_ == nullptr) {
        return {};
    }
    const auto& endpoints = current_->published.endpoints;
    const auto found = std::find_if(endpoints.begin(), endpoints.end(),
                                    [&](const auto& one) { return one.address == address; });
    return found == endpoints.end() ? std::string{} : found->data_centre;
}

} // namespace boragefront::gateway
