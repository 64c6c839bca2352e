#include "traffic_dump.hpp"

#include <boost/json.hpp>

namespace boragefront::gateway {
namespace {

namespace json = boost::json;

json::object to_json(const balancing::endpoint_description& endpoint) {
    json::object object;
    object["id"] = endpoint.endpoint.id;
    object["pool"] = endpoint.endpoint.service;
    object["address"] = endpoint.endpoint.address;
    object["data_centre"] = endpoint.endpoint.data_centre;
    object["not_chosen_because"] = endpoint.not_chosen_because;
    object["limit"] = endpoint.endpoint.slots;
    object["own_in_flight"] = endpoint.open_requests;
    object["reported_queued"] = endpoint.load.waiting;
    object["heard_ms_ago"] =
        endpoint.load_age ? json::value(endpoint.load_age->count()) : json::value();
    object["latency_ms"] = endpoint.latency.count();
    object["failure_rate"] = endpoint.failure_rate;
    if (const auto& estimate = endpoint.estimate) {
        object["speed"] = estimate->speed;
        object["speed_now"] = estimate->speed_now;
        object["concurrency"] = estimate->concurrency;
        object["speed_age_ms"] =
            estimate->age ? json::value(estimate->age->count()) : json::value();
    }
    if (const auto& limit = endpoint.limit) {
        object["limit_per_second"] = limit->per_second;
        object["limit_share"] = limit->share;
        object["limit_age_ms"] = limit->age.count();
    }
    return object;
}

} // namespace

std::string dump_traffic(traffic_state& state, const stage_scheduler& stages, time_point now) {
    json::object traffic;
    json::array endpoints;
    if (state.current() != nullptr) {
        const auto& published = state.current()->published;
        traffic["config_revision"] = published.config_position.at;
        traffic["config_era"] = published.config_position.era;
        traffic["config_version"] = published.config->version;
        const auto& directory = published.config->directory;
        traffic["needs_api_keys"] = directory.has_value();
        traffic["workspaces"] = directory ? directory->workspaces.size() : 0;
        traffic["api_keys"] = directory ? directory->by_key.size() : 0;
        for (const auto& [name, service] : published.config->services) {
            for (const auto& endpoint : state.pool(name)->describe(now, state.entry_group())) {
                endpoints.push_back(to_json(endpoint));
            }
        }
    }
    traffic["endpoints"] = std::move(endpoints);
    const auto queues = stages.describe(now);
    traffic["stage_queues"] = json::array(queues.begin(), queues.end());
    traffic["limits_divided_by"] = state.fleet().max_entry_count;
    return json::serialize(traffic);
}

} // namespace boragefront::gateway
