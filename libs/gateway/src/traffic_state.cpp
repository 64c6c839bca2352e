#include "traffic_state.hpp"

#include "base/hash.hpp"
#include "base/logging.hpp"
#include "capacity/report_selection.hpp"
#include "request_limits.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::gateway {
namespace {

// A report counts as older by this than it says, as its age does not include its delivery. What
// this entry has observed itself must not yield to an older observation.
constexpr milliseconds limit_delivery_time{250};
// How long other entries are told that a limit has ended. Many gossip rounds.
constexpr milliseconds ended_limit_retention{30'000};
constexpr std::size_t stream_origin_capacity = 20'000;
// Callers resume streams until their own deadline, which is about the timeout of the route.
constexpr milliseconds stream_age_margin{5'000};

milliseconds stream_age(const catalog::route& route) {
    const auto timeout = route.timeout > milliseconds{0} ? route.timeout : default_timeout;
    return std::min(timeout + stream_age_margin, continuation::version_history_time);
}

// When an endpoint's process started, by the clocks of both machines; `now` if that is not known.
time_point started_at(const catalog::endpoint& endpoint, time_point now) {
    const auto clock = std::chrono::system_clock::now().time_since_epoch();
    const auto age = std::chrono::floor<milliseconds>(clock) -
                     milliseconds{static_cast<std::int64_t>(endpoint.incarnation)};
    const bool known = endpoint.incarnation != 0 && age > milliseconds{0};
    return known ? now - std::min(age, milliseconds{continuation::version_history_time}) : now;
}

} // namespace

traffic_state::traffic_state(settings::gateway_settings role, std::string self_id,
                             std::string data_centre, metrics_registry& metrics)
    : role_{std::move(role)}, self_id_{std::move(self_id)}, data_centre_{std::move(data_centre)},
      metrics_{metrics}, quarantine_{quarantine::prompt_quarantine::make(self_id_)},
      origins_{continuation::stream_origins::make(stream_origin_capacity)} {
    group_ = {self_id_, {self_id_}, 1};
}

void traffic_state::publish(std::shared_ptr<const indexed_snapshot> next, time_point now) {
    current_ = std::move(next);
    leaving_.purge(now);
    update_endpoints(now);
}

void traffic_state::update_endpoints(time_point now) {
    const auto& published = current_->published;
    endpoints_ = published.endpoints;
    leaving_.apply_to(endpoints_);
    const auto& services = published.config->services;
    for (const auto& [name, service] : services) {
        pools_[name].set_endpoints(endpoints_, published.evacuated, service, now);
    }
    // Requests under way go on with a service that has left the configuration.
    for (auto& [name, pool] : pools_) {
        if (!services.contains(name)) {
            const auto last = pool.service();
            pool.set_endpoints(endpoints_, published.evacuated, last, now);
        }
    }
    update_versions(now);
    if (on_endpoints_changed_) {
        on_endpoints_changed_(now);
    }
}

void traffic_state::update_versions(time_point now) {
    max_stream_age_ = milliseconds{0};
    for (const auto& route : current_->published.config->routes) {
        max_stream_age_ =
            std::max(max_stream_age_, route.streaming ? stream_age(route) : milliseconds{0});
    }
    continuation::service_listing listing;
    std::map<std::string, std::set<std::string>> names;
    for (const auto& endpoint : endpoints_) {
        auto& listed = listing[continuation::make_service_key(endpoint.service)];
        listed.versions.insert(continuation::make_version_key(endpoint.version));
        listed.last_start = std::max(listed.last_start, started_at(endpoint, now));
        names[endpoint.service].insert(endpoint.version);
    }
    versions_.observe(listing, now);
    if (names != listed_versions_) {
        log_versions(names);
        listed_versions_ = std::move(names);
    }
}

void traffic_state::log_versions(const std::map<std::string, std::set<std::string>>& listed) {
    for (const auto& [service, versions] : listed) {
        const auto last = listed_versions_.find(service);
        if (last != listed_versions_.end() && last->second == versions) {
            continue;
        }
        std::string names;
        for (const auto& version : versions) {
            names += (names.empty() ? "" : ",") + (version.empty() ? "unknown" : version);
        }
        log_change("endpoints", "versions_changed", {{"service", service}, {"versions", names}});
        metrics_.get_gauge("boragefront_software_versions", "service=\"" + service + '"')
            .set(static_cast<double>(versions.size()));
    }
}

std::optional<continuation::version_key> traffic_state::sole_version(std::string_view service,
                                                                     const catalog::route& route,
                                                                     time_point now) const {
    // Without contact to the others, the list of endpoints may be out of date.
    const bool isolated = fleet_.serving.empty() && !fleet_.silent.empty();
    return isolated ? std::nullopt
                    : versions_.sole_version(continuation::make_service_key(service),
                                             now - stream_age(route));
}

void traffic_state::record_past_versions(const std::vector<catalog::endpoint>& seen,
                                         time_point now) {
    std::vector<continuation::stream_origin> versions;
    versions.reserve(seen.size());
    for (const auto& endpoint : seen) {
        versions.push_back({continuation::make_service_key(endpoint.service),
                            continuation::make_version_key(endpoint.version)});
    }
    versions_.assume_unchanged(versions, now);
}

// The services that may have had several versions for as long as a stream lasts.
std::set<continuation::service_key> traffic_state::mixed_services(time_point now) const {
    std::set<continuation::service_key> mixed;
    for (const auto& [name, versions] : listed_versions_) {
        const auto service = continuation::make_service_key(name);
        if (!versions_.sole_version(service, now - max_stream_age_)) {
            mixed.insert(service);
        }
    }
    return mixed;
}

void traffic_state::record_leaving(const std::string& id, std::uint64_t incarnation,
                                   time_point now) {
    if (!leaving_.record(id, incarnation, now)) {
        return;
    }
    log_change("endpoints", "leaving_announced",
               {{"endpoint", id}, {"incarnation", std::to_string(incarnation)}});
    metrics_.get_counter("boragefront_leaving_notices_total").add();
    update_endpoints(now);
}

void traffic_state::record_limit(std::string_view service, const std::string& id,
                                 std::uint64_t incarnation, const platform::response_head& head,
                                 time_point now) {
    if (!head.malformed_limit.empty()) {
        log_decision("endpoints", "limit_ignored",
                     {{"endpoint", id}, {"value", head.malformed_limit}});
        return;
    }
    if (auto* const endpoints = pool(service); endpoints != nullptr && !head.misdirected) {
        endpoints->on_limit_report(id, incarnation, {head.limit_per_second, now});
    }
}

void traffic_state::set_fleet(fleet_view view) {
    fleet_ = std::move(view);
    const auto former_members = std::exchange(group_.members, {self_id_});
    for (const auto& entry : fleet_.serving) {
        group_.members.push_back(entry.id);
    }
    quarantine_.set_entries(group_.members);
    // Entries that are presumed to exist but whose ids are unknown count as well.
    while (group_.members.size() < fleet_.max_entry_count) {
        group_.members.push_back("unknown-" + std::to_string(group_.members.size()));
    }
    group_.revision += group_.members == former_members ? 0 : 1;
    if (on_fleet_changed_) {
        on_fleet_changed_(steady_clock::now());
    }
}

void traffic_state::record_lost(const quarantine::lost_request& request, time_point now) {
    if (quarantine_.record_lost(request, now)) {
        publish_suspects();
    }
}

void traffic_state::record_sound(const std::vector<std::string>& parts, time_point now) {
    if (quarantine_.record_sound(parts, now)) {
        publish_suspects();
    }
}

void traffic_state::record_alive(std::string_view endpoint, std::uint64_t incarnation,
                                 time_point sent_at, time_point now) {
    if (quarantine_.record_alive(endpoint, incarnation, sent_at, now)) {
        log_change("quarantine", "crash_refuted",
                   {{"endpoint", std::string{endpoint}},
                    {"incarnation", std::to_string(incarnation)},
                    {"sent_ms_ago",
                     std::to_string(std::chrono::floor<milliseconds>(now - sent_at).count())}});
        publish_suspects();
    }
}

void traffic_state::merge_suspects(const std::vector<quarantine::part_report>& reports,
                                   time_point now) {
    if (quarantine_.merge(reports, now)) {
        publish_suspects();
    }
}

void traffic_state::publish_suspects() {
    auto parts = quarantine_.parts_in_quarantine();
    const auto log_difference = [](const auto& from, const auto& to, std::string_view event) {
        std::vector<std::string> gone;
        std::set_difference(from.begin(), from.end(), to.begin(), to.end(),
                            std::back_inserter(gone));
        for (const auto& part : gone) {
            log_change("quarantine", event, {{"part", part}});
        }
    };
    log_difference(parts, parts_in_quarantine_, "part_quarantined");
    log_difference(parts_in_quarantine_, parts, "part_released");
    parts_in_quarantine_ = std::move(parts);
    metrics_.get_gauge("boragefront_parts_in_quarantine")
        .set(static_cast<double>(parts_in_quarantine_.size()));
    if (on_suspects_changed_) {
        on_suspects_changed_(quarantine_.report());
    }
}

wire::fleet_observations traffic_state::observations(time_point now) {
    wire::fleet_observations observed;
    auto late = response_monitor_.late(now);
    for (const auto& [id, life] : late) {
        if (observed.late_entries.size() == wire::late_entry_limit) {
            break;
        }
        observed.late_entries.push_back({id, life});
    }
    lateness_.record(self_id_, std::move(late), now);
    std::vector<capacity::estimate_report> reports;
    for (const auto& [service, pool] : pools_) {
        auto of_service = pool.capacity_reports(now);
        reports.insert(reports.end(), of_service.begin(), of_service.end());
    }
    for (const auto& one : capacity::select_reports(
             std::move(reports), wire::endpoint_estimate_limit, estimate_messages_++)) {
        observed.estimates.push_back(
            {one.endpoint, one.incarnation, one.speed_percent, one.concurrency, one.age});
    }
    observed.limits = limits_to_tell(now);
    const auto mixed = mixed_services(now);
    observed.origins =
        origins_.recent([&](continuation::service_key service) { return mixed.contains(service); },
                        wire::stream_origin_limit, now);
    speed_monitor_.update(pools_, metrics_, now);
    limit_monitor_.update(pools_, group_, metrics_, now);
    return observed;
}

wire::fleet_observations traffic_state::with_history(wire::fleet_observations observed,
                                                     time_point now) const {
    if (const auto mixed = mixed_services(now); !mixed.empty()) {
        observed.origins =
            origins_.all([&](continuation::service_key service) { return mixed.contains(service); },
                         wire::all_stream_origins_limit, now);
    }
    observed.versions = versions_.report(now);
    return observed;
}

// A sample in turn if there are many, so that messages stay bounded.
std::vector<wire::endpoint_limit> traffic_state::limits_to_tell(time_point now) const {
    std::vector<wire::endpoint_limit> all;
    for (const auto& [service, pool] : pools_) {
        for (const auto& one : pool.limit_reports()) {
            const auto age = std::chrono::floor<milliseconds>(now - one.report.observed_at);
            if (one.report.per_second || age < ended_limit_retention) {
                all.push_back(
                    {one.endpoint, one.incarnation, one.report.per_second.value_or(0), age});
            }
        }
    }
    if (all.size() > wire::endpoint_limit_limit) {
        const auto first = estimate_messages_ * wire::endpoint_limit_limit % all.size();
        std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(first), all.end());
        all.resize(wire::endpoint_limit_limit);
    }
    return all;
}

void traffic_state::merge_observations(const std::string& from,
                                       const wire::fleet_observations& received, time_point now) {
    std::vector<placement::entry_life> late;
    for (const auto& entry : received.late_entries) {
        late.emplace_back(entry.id, entry.life);
    }
    lateness_.record(from, std::move(late), now);
    std::vector<capacity::estimate_report> reports;
    for (const auto& one : received.estimates) {
        reports.push_back(
            {one.endpoint, one.incarnation, one.speed_percent, one.concurrency, one.age});
    }
    std::vector<balancing::shared_limit> limits;
    for (const auto& one : received.limits) {
        limits.push_back({one.endpoint,
                          one.incarnation,
                          {one.per_second > 0 ? std::optional{one.per_second} : std::nullopt,
                           now - one.age - limit_delivery_time}});
    }
    origins_.merge(received.origins, now);
    if (received.versions) {
        versions_.merge(*received.versions, now);
        log_change("endpoints", "versions_learned",
                   {{"from", from},
                    {"covered_ms", std::to_string(received.versions->covered.count())},
                    {"versions", std::to_string(received.versions->sightings.size())},
                    {"streams", std::to_string(origins_.size())}});
    }
    for (auto& [service, pool] : pools_) {
        pool.merge_capacity(reports, now);
        pool.merge_limits(limits);
    }
}

balancing::endpoint_pool* traffic_state::pool(std::string_view service) {
    const auto found = pools_.find(service);
    return found == pools_.end() ? nullptr : &found->second;
}

balancing::retry_budget& traffic_state::retry_budget(const std::string& service) {
    return budgets_.try_emplace(service, balancing::retry_budget::make(started_at_)).first->second;
}

balancing::cold_limit traffic_state::cold_limit_of(std::string_view service) const {
    const auto found = pools_.find(service);
    const double per_second =
        found == pools_.end() ? 0 : found->second.service().cold_requests_per_second;
    return {per_second, role_.cold_tolerance, role_.cold_slack};
}

balancing::retry_limit traffic_state::retry_limit() const {
    return {role_.retry_ratio, role_.retry_slack, role_.retry_window};
}

std::optional<std::set<std::string>>
traffic_state::allowed_data_centres(const catalog::region_list& route_regions,
                                    const catalog::region_list& workspace_regions) const {
    if (!route_regions && !workspace_regions) {
        return std::nullopt;
    }
    const auto allows = [](const catalog::region_list& regions, const std::string& region) {
        return !regions || std::find(regions->begin(), regions->end(), region) != regions->end();
    };
    std::set<std::string> allowed;
    for (const auto& [data_centre, region] : role_.region_of) {
        if (allows(route_regions, region) && allows(workspace_regions, region)) {
            allowed.insert(data_centre);
        }
    }
    return allowed;
}

std::optional<catalog::endpoint> traffic_state::stage_endpoint_at(std::string_view address) const {
    const auto found = std::find_if(endpoints_.begin(), endpoints_.end(), [&](const auto& one) {
        return one.address == address && !one.removed_at;
    });
    if (found == endpoints_.end()) {
        return std::nullopt;
    }
    const auto& services = current_->published.config->services;
    const auto service = services.find(found->service);
    const bool is_stage_service = service != services.end() && service->second.stages.has_value();
    return is_stage_service ? std::optional{*found} : std::nullopt;
}

std::string traffic_state::preferred_data_centre(const catalog::route& route,
                                                 std::string_view shared_prompt) const {
    const auto largest = std::max_element(
        route.stages.begin(), route.stages.end(),
        [](const auto& a, const auto& b) { return a.result_bytes < b.result_bytes; });
    if (shared_prompt.empty() || largest == route.stages.end() ||
        largest->result_bytes < costly_transfer_bytes) {
        return {};
    }
    const auto& published = current_->published;
    std::string data_centre;
    std::uint64_t best_score = 0;
    for (const auto& endpoint : endpoints_) {
        const bool serves = endpoint.service == largest->service && !endpoint.removed_at &&
                            endpoint.state == catalog::endpoint_state::ready &&
                            !published.evacuated.contains(endpoint.data_centre);
        const auto score = serves ? rendezvous_score(shared_prompt, endpoint.id) : 0;
        if (score > best_score) {
            best_score = score;
            data_centre = endpoint.data_centre;
        }
    }
    return data_centre;
}

std::string traffic_state::data_centre_of(std::string_view address) const {
    const auto found =
        std::find_if(endpoints_.begin(), endpoints_.end(),
                     [&](const auto& endpoint) { return endpoint.address == address; });
    return found == endpoints_.end() ? std::string{} : found->data_centre;
}

} // namespace boragefront::gateway
