/// \file
/// State of the traffic thread.
#pragma once

#include "balancing/endpoint_pool.hpp"
#include "balancing/entry_group.hpp"
#include "balancing/prompt_locations.hpp"
#include "balancing/reachability.hpp"
#include "balancing/retry_budget.hpp"
#include "base/metrics.hpp"
#include "base/random.hpp"
#include "catalog/leaving_endpoints.hpp"
#include "catalog/route_table.hpp"
#include "catalog/types.hpp"
#include "continuation/stream_origins.hpp"
#include "continuation/version_history.hpp"
#include "gateway/drain_plan.hpp"
#include "limit_monitor.hpp"
#include "longest_recent.hpp"
#include "open_request_list.hpp"
#include "placement/lateness.hpp"
#include "platform/requests.hpp"
#include "quarantine/prompt_quarantine.hpp"
#include "settings/settings.hpp"
#include "speed_monitor.hpp"
#include "wire/messages.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragefront::gateway {

/// Size in bytes from which moving results to another data centre costs more than processing a part
/// of a prompt there that an engine elsewhere has cached, or than waiting for a nearer endpoint.
inline constexpr std::uint64_t costly_transfer_bytes = 1'000'000;

/// A published snapshot with its route index.
struct indexed_snapshot {
    explicit indexed_snapshot(catalog::snapshot from)
        : published{std::move(from)}, routes{published.config == nullptr
                                                 ? catalog::route_table{}
                                                 : catalog::route_table::make(
                                                       published.config->routes)} {}
    catalog::snapshot published;
    catalog::route_table routes;
};

/// The other entries, as last reported by the control thread.
struct fleet_view {
    std::vector<wire::entry_info> serving; ///< accept work
    std::vector<wire::entry_info> alive;   ///< respond, including draining ones
    std::vector<wire::entry_info> silent;  ///< responded recently, but not now
    std::size_t max_entry_count{1};        ///< divisor of limits, including this entry
    wire::entry_info self{};               ///< what the others are told of this entry
};

/// Snapshot, pools, budgets and the fleet, as the traffic thread uses them for its decisions.
class traffic_state {
public:
    traffic_state(settings::gateway_settings role, std::string self_id, std::string data_centre,
                  metrics_registry& metrics);

    /// Replaces the current snapshot and updates the endpoints.
    void publish(std::shared_ptr<const indexed_snapshot> next, time_point now);

    /// Takes an endpoint out of service that announced in a response that it leaves.
    /// \param incarnation of the endpoint that was asked.
    void record_leaving(const std::string& id, std::uint64_t incarnation, time_point now);

    /// Records what the response of an endpoint says of its limit.
    /// \param incarnation of the endpoint that was asked.
    void record_limit(std::string_view service, const std::string& id, std::uint64_t incarnation,
                      const platform::response_head& head, time_point now);

    /// Sets the callback for changes of `endpoints`.
    void on_endpoints_changed(std::function<void(time_point now)> callback) {
        on_endpoints_changed_ = std::move(callback);
    }

    void set_fleet(fleet_view view);

    /// Sets the callback for changes of `fleet`.
    void on_fleet_changed(std::function<void(time_point now)> callback) {
        on_fleet_changed_ = std::move(callback);
    }

    void set_role(const settings::gateway_settings& role) { role_ = role; }

    /// The current snapshot, null until the first one is published.
    const std::shared_ptr<const indexed_snapshot>& current() const { return current_; }
    /// The published endpoints, of which those that announced that they leave are draining.
    const std::vector<catalog::endpoint>& endpoints() const { return endpoints_; }
    const fleet_view& fleet() const { return fleet_; }
    const balancing::entry_group& entry_group() const { return group_; }

    /// Which parts of prompts crash engines. `record_lost`, `record_sound`, `record_alive` and
    /// `merge_suspects` bring the observations.
    quarantine::prompt_quarantine& prompt_quarantine() { return quarantine_; }
    void record_lost(const quarantine::lost_request& request, time_point now);
    void record_sound(const std::vector<std::string>& parts, time_point now);
    void record_alive(std::string_view endpoint, std::uint64_t incarnation, time_point sent_at,
                      time_point now);
    void merge_suspects(const std::vector<quarantine::part_report>& reports, time_point now);

    /// Sets the callback for changes of what other entries are to know of suspected parts.
    void on_suspects_changed(std::function<void(std::vector<quarantine::part_report>)> callback) {
        on_suspects_changed_ = std::move(callback);
    }

    /// What other entries are told of late entries, of endpoints and of streams. Called at regular
    /// intervals; also logs lasting changes of the endpoints' speed.
    wire::fleet_observations observations(time_point now);

    /// Adds to the observations what an entry is told that has just started.
    wire::fleet_observations with_history(wire::fleet_observations observed, time_point now) const;

    /// Merges the observations of another entry.
    void merge_observations(const std::string& from, const wire::fleet_observations& received,
                            time_point now);

    /// How fast other entries respond to requests for dispatch, as this one observes.
    placement::response_monitor& response_monitor() { return response_monitor_; }
    /// Whether an entry responds late, as several entries observe.
    bool is_late(const std::string& id, incarnation life, time_point now) const {
        return lateness_.is_late({id, life}, now);
    }

    /// The endpoint pool of a service, null if no configuration had such a service. One that has
    /// left the configuration keeps its pool, and with it the tickets of its open requests.
    balancing::endpoint_pool* pool(std::string_view service);
    balancing::retry_budget& retry_budget(const std::string& service);
    balancing::prompt_locations& prompt_locations() { return prompt_locations_; }
    balancing::reachability& reachability() { return reachability_; }

    /// Records the versions in the store's history, of which all departures are known.
    void record_past_versions(const std::vector<catalog::endpoint>& seen, time_point now);

    /// Where streams began, by the id of the attempt that delivered the first event.
    continuation::stream_origins& stream_origins() { return origins_; }
    /// The only software version at which a stream of unknown origin may have begun. Empty if there
    /// may have been several.
    std::optional<continuation::version_key>
    sole_version(std::string_view service, const catalog::route& route, time_point now) const;

    balancing::cold_limit cold_limit_of(std::string_view service) const;
    balancing::retry_limit retry_limit() const;

    /// The data centres that the home regions of both the route and the workspace allow. Empty
    /// optional if neither has home regions.
    std::optional<std::set<std::string>>
    allowed_data_centres(const catalog::region_list& route_regions,
                         const catalog::region_list& workspace_regions) const;

    /// The stage service's endpoint at an address, if there is one.
    std::optional<catalog::endpoint> stage_endpoint_at(std::string_view address) const;
    /// The data centre that requests with this shared prompt prefer: one that can produce the
    /// largest results of the route's stages, weighted by the number of endpoints that produce
    /// them. Empty if no stage has results that are costly to transfer.
    std::string preferred_data_centre(const catalog::route& route,
                                      std::string_view shared_prompt) const;
    /// The data centre of the endpoint at an address, empty if there is none.
    std::string data_centre_of(std::string_view address) const;

    const std::string& self_id() const { return self_id_; }
    const std::string& data_centre() const { return data_centre_; }
    const settings::gateway_settings& role() const { return role_; }
    metrics_registry& metrics() { return metrics_; }
    random_source& random() { return random_; }

    /// How long complete answers to a route's requests took, from arrival to end.
    longest_recent& longest_duration(const std::string& route) { return longest_durations_[route]; }

    open_request_list& open_requests() { return open_requests_; }

    std::optional<drain_plan> draining; ///< set once a shutdown was requested

private:
    void update_endpoints(time_point now);
    void update_versions(time_point now);
    std::set<continuation::service_key> mixed_services(time_point now) const;
    void log_versions(const std::map<std::string, std::set<std::string>>& listed);
    void publish_suspects();
    std::vector<wire::endpoint_limit> limits_to_tell(time_point now) const;

    settings::gateway_settings role_;
    std::string self_id_;
    std::string data_centre_;
    metrics_registry& metrics_;
    random_source random_{make_random_source()};
    std::shared_ptr<const indexed_snapshot> current_; // shared with requests in progress
    catalog::leaving_endpoints leaving_;
    std::vector<catalog::endpoint> endpoints_;
    std::function<void(time_point)> on_endpoints_changed_;
    fleet_view fleet_;
    std::function<void(time_point)> on_fleet_changed_;
    placement::response_monitor response_monitor_;
    placement::lateness_reports lateness_;
    balancing::entry_group group_;
    std::map<std::string, balancing::endpoint_pool, std::less<>> pools_;
    speed_monitor speed_monitor_;
    limit_monitor limit_monitor_;
    std::size_t estimate_messages_{0};
    std::map<std::string, balancing::retry_budget> budgets_;
    time_point started_at_{steady_clock::now()};
    std::map<std::string, longest_recent> longest_durations_; // by route
    open_request_list open_requests_;
    balancing::prompt_locations prompt_locations_;
    balancing::reachability reachability_;
    quarantine::prompt_quarantine quarantine_;
    std::vector<std::string> parts_in_quarantine_; // as last logged
    std::function<void(std::vector<quarantine::part_report>)> on_suspects_changed_;
    continuation::stream_origins origins_;
    continuation::version_history versions_;
    std::map<std::string, std::set<std::string>> listed_versions_; // by service, as last logged
    milliseconds max_stream_age_{0};                               // of all routes
};

} // namespace boragefront::gateway
