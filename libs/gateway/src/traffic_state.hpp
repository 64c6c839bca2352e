/// \file
/// What the traffic thread decides by.
#pragma once

#include "balancing/endpoint_pool.hpp"
#include "balancing/entry_group.hpp"
#include "balancing/prompt_locations.hpp"
#include "balancing/reachability.hpp"
#include "balancing/retry_budget.hpp"
#include "base/metrics.hpp"
#include "base/random.hpp"
#include "catalog/route_table.hpp"
#include "catalog/types.hpp"
#include "gateway/drain_plan.hpp"
#include "settings/settings.hpp"
#include "wire/messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// From this size on, moving results to another data centre costs more than reading a part of a
/// prompt there that an engine elsewhere has cached, or than a wait for a nearer endpoint.
inline constexpr std::uint64_t dear_to_move_bytes = 1'000'000;

/// One published snapshot with its index of routes.
struct indexed_snapshot {
    explicit indexed_snapshot(catalog::snapshot from)
        : published{std::move(from)}, routes{published.config == nullptr
                                                 ? catalog::route_table{}
                                                 : catalog::route_table::make(
                                                       published.config->routes)} {}
    catalog::snapshot published;
    catalog::route_table routes;
};

/// The entries that this one knows, as the control thread last told.
struct fleet_view {
    std::vector<wire::entry_info> serving; ///< others that take work
    std::vector<wire::entry_info> alive;   ///< others that answer, also while they drain
    std::vector<wire::entry_info> silent;  ///< others that answered lately and do not now
    std::size_t entries_at_most{1};        ///< by which limits are divided
};

/// State of the traffic thread.
class traffic_state {
public:
    traffic_state(settings::gateway_settings role, std::string self_id, std::string data_centre,
                  metrics_registry& metrics);

    /// Takes over a snapshot.
    void publish(std::shared_ptr<const indexed_snapshot> next, time_point now);
    void set_fleet(fleet_view view);
    void set_limits(const settings::gateway_settings& role) { role_ = role; }

    /// Null until enough is known to serve.
    const std::shared_ptr<const indexed_snapshot>& current() const { return current_; }
    const fleet_view& fleet() const { return fleet_; }
    const balancing::entry_group& group() const { return group_; }

    /// The pool of a service, or null if there is no such service.
    balancing::endpoint_pool* pool(std::string_view service);
    balancing::retry_budget& budget(const std::string& service) { return budgets_[service]; }
    balancing::prompt_locations& prompts() { return prompts_; }
    balancing::reachability& reach() { return reach_; }

    balancing::cold_limit cold_limit_of(std::string_view service) const;
    balancing::retry_limit retry_limit() const;

    /// The data centres of the home regions of a route and a workspace, both of which bind;
    /// nothing if neither has any.
    std::optional<std::set<std::string>>
    home_data_centres(const std::vector<std::string>& of_route,
                      const std::vector<std::string>& of_workspace) const;

    /// The id of the endpoint of a stage service at an address; empty if there is none.
    std::string stage_endpoint_at(std::string_view address) const;
    /// The data centre in which requests with this shared prompt are at home: where the most dear
    /// results of the route's stages can be made, in proportion to the endpoints that make them.
    /// Empty if the route has no such stage.
    std::string home_data_centre(const catalog::route& route, std::string_view shared) const;
    /// The data centre of the endpoint at an address; empty if there is none.
    std::string data_centre_of(std::string_view address) const;

    const std::string& self_id() const { return self_id_; }
    const std::string& data_centre() const { return data_centre_; }
    const settings::gateway_settings& role() const { return role_; }
    metrics_registry& metrics() { return metrics_; }
    random_source& random() { return random_; }

    std::optional<drain_plan> draining; ///< set once a shutdown was asked for

private:
    settings::gateway_settings role_;
    std::string self_id_;
    std::string data_centre_;
    metrics_registry& metrics_;
    random_source random_{make_random_source()};
    std::shared_ptr<const indexed_snapshot> current_; // shared with requests in progress
    fleet_view fleet_;
    balancing::entry_group group_;
    std::map<std::string, balancing::endpoint_pool, std::less<>> pools_;
    std::map<std::string, balancing::retry_budget> budgets_;
    balancing::prompt_locations prompts_;
    balancing::reachability reach_;
};

} // namespace boragefront::gateway
