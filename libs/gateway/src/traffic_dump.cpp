#include "traffic_dump.hpp"

#include <boost/json.hpp>

namespace boragefront::gateway {
namespace {

namespace json = boost::json;

json::object to_json(const balancing::endpoint_description& one) {
    json::object made;
    made["id"] = one.self.id;
    made["pool"] = one.self.service;
    made["address"] = one.self.address;
    made["data_centre"] = one.self.data_centre;
    made["not_chosen_because"] = one.not_chosen_because;
    made["limit"] = one.self.slots;
    made["own_in_flight"] = one.open_requests;
    made["reported_queued"] = one.load.waiting;
    made["heard_ms_ago"] = one.load_age ? json::value(one.load_age->count()) : json::value();
    made["latency_ms"] = one.latency.count();
    made["failure_rate"] = one.failure_rate;
    return made;
}

} // namespace

std::string dump_traffic(traffic_state& state, const stage_exchange& stages, time_point now) {
    json::object all;
    json::array endpoints;
    if (state.current() != nullptr) {
        const auto& published = state.current()->published;
        all["config_revision"] = published.config_revision;
        all["config_version"] = published.config->version;
        for (const auto& [name, service] : published.config->services) {
            for (const auto& one : state.pool(name)->describe(now)) {
                endpoints.push_back(to_json(one));
            }
        }
    }
    all["endpoints"] = std::move(endpoints);
    const auto queues = stages.describe(now);
    all["stage_queues"] = json::array(queues.begin(), queues.end());
    all["limits_divided_by"] = state.fleet().entries_at_most;
    return json::serialize(all);
}

} // namespace boragefront::gateway
