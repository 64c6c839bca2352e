/// \file
#include "entry_core.hpp"

#include <algorithm>

namespace boragefront::entry {
namespace {

using membership::instance_state;

bool is_listed_as_leaving(const membership::instance_list& list, std::string_view id) {
    return std::any_of(list.instances.begin(), list.instances.end(), [&](const auto& one) {
        return one.id == id && one.state == instance_state::leaving;
    });
}

// A set of snapshots that one query reads.
struct snapshots {
    std::shared_ptr<const config::snapshot> configuration;
    std::shared_ptr<const membership::instance_list> instances;
    std::shared_ptr<const control::heard_sidecars> sidecars;
};

snapshots load_snapshots(const entry_core& core) {
    return {core.control.configuration().load(), core.control.instances().load(),
            core.control.sidecars().load()};
}

routing::endpoint_view view_of(const control::heard_sidecar& heard, const snapshots& known,
                               time_point now) {
    const auto& where = heard.where;
    const auto& report = heard.report;
    routing::endpoint_view view;
    view.id = where.id;
    view.data_centre = where.data_centre;
    view.data_address = where.data_address;
    view.life = report.life;
    view.limit = report.concurrency_limit;
    view.reported_in_flight = report.in_flight;
    view.reported_queued = report.queued;
    view.service_time = report.service_time;
    view.clock = heard.clock;
    view.heard_at = heard.heard_at;
    const routing::endpoint_status facts{
        report.phase == control::service_phase::serving,
        where.state == instance_state::leaving || is_listed_as_leaving(*known.instances, where.id),
        known.configuration->is_in(where.data_centre, where.id), heard.validity};
    view.excluded = routing::exclusion_of(facts, heard.heard_at, now);
    return view;
}

} // namespace

std::vector<routing::endpoint_view> endpoints_of(const entry_core& core, std::string_view pool,
                                                 time_point now) {
    const auto known = load_snapshots(core);
    std::vector<routing::endpoint_view> views;
    for (const auto& [id, heard] : known.sidecars->by_id) {
        if (heard.where.pool == pool) {
            views.push_back(view_of(heard, known, now));
        }
    }
    return views;
}

std::optional<routing::endpoint_view> endpoint_named(const entry_core& core, std::string_view id,
                                                     time_point now) {
    const auto known = load_snapshots(core);
    const auto found = known.sidecars->by_id.find(id);
    if (found == known.sidecars->by_id.end()) {
        return std::nullopt;
    }
    return view_of(found->second, known, now);
}

std::vector<routing::endpoint_view> all_endpoints(const entry_core& core, time_point now) {
    const auto known = load_snapshots(core);
    std::vector<routing::endpoint_view> views;
    for (const auto& [id, heard] : known.sidecars->by_id) {
        views.push_back(view_of(heard, known, now));
    }
    return views;
}

} // namespace boragefront::entry
