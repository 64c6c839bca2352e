#include "dump.hpp"

#include <boost/json.hpp>

namespace boragefront::control {
namespace {

namespace json = boost::json;

std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

json::array keys_of(const config::config_store& store) {
    json::array keys;
    for (const auto& held : store.revisions()) {
        keys.push_back(json::object{
            {"key", held.key}, {"revision", held.newest}, {"revision_in_force", held.good}});
    }
    return keys;
}

json::array refused_of(const config::snapshot& in_force) {
    json::array refused;
    for (const auto& one : in_force.refused) {
        refused.push_back(json::object{{"key", one.key},
                                       {"revision", one.refused},
                                       {"field", one.reason.field},
                                       {"detail", one.reason.detail}});
    }
    return refused;
}

json::object configuration_of(const dump_sources& sources, time_point now) {
    const auto& knowledge = sources.core.knowledge();
    return {{"highest", sources.core.store().highest()},
            {"confirmed", knowledge.confirmed()},
            {"knowledge_age_ms", knowledge.age(now).count()},
            {"platform_revision", knowledge.platform_revision()},
            {"platform_is_stale", knowledge.platform_is_stale()},
            {"reader", sources.reader},
            {"workspaces", sources.in_force.workspaces.size()},
            {"keys", keys_of(sources.core.store())},
            {"refused", refused_of(sources.in_force)}};
}

json::object describe(const membership::instance& one) {
    const bool entry = one.role == membership::instance_role::entry;
    const bool live = one.state == membership::instance_state::live;
    return {{"id", one.id},
            {"role", entry ? "entry" : "sidecar"},
            {"data_centre", one.data_centre},
            {"pool", one.pool},
            {"data_address", one.data_address},
            {"control_address", one.control_address},
            {"state", live ? "live" : "leaving"}};
}

json::array instances_of(const control_core& core) {
    json::array all;
    for (const auto& one : core.instances().believed().instances) {
        all.push_back(describe(one));
    }
    return all;
}

json::array sidecars_of(const heard_sidecars& heard, time_point now) {
    json::array all;
    for (const auto& [id, one] : heard.by_id) {
        all.push_back(json::object{{"id", id},
                                   {"incarnation", one.report.life},
                                   {"phase", wire::to_string(one.report.phase)},
                                   {"concurrency_limit", one.report.concurrency_limit},
                                   {"in_flight", one.report.in_flight},
                                   {"queued", one.report.queued},
                                   {"service_time_ms", one.report.service_time.count()},
                                   {"heard_ms_ago", to_ms(now - one.heard_at)}});
    }
    return all;
}

json::value role_state_of(const std::string& text) {
    json::error_code failure;
    auto value = json::parse(text, failure);
    return failure ? json::value{json::object{}} : value;
}

} // namespace

std::string make_dump(const dump_sources& sources, time_point now) {
    const json::object instances{{"age_ms", sources.core.instances().age(now).count()},
                                 {"believed", instances_of(sources.core)}};
    const json::object document{{"self", describe(sources.self)},
                                {"ready", sources.ready},
                                {"configuration", configuration_of(sources, now)},
                                {"instances", instances},
                                {"sidecars", sidecars_of(sources.heard, now)},
                                {"role_state", role_state_of(sources.role_state)}};
    return json::serialize(document);
}

} // namespace boragefront::control
