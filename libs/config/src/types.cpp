#include "config/types.hpp"

#include "base/hash.hpp"

#include <array>

namespace boragefront::config {
namespace {

template <class Map>
const typename Map::mapped_type* find_in(const Map& values, std::string_view name) {
    const auto found = values.find(name);
    return found == values.end() ? nullptr : &found->second;
}

bool is_out(const std::map<std::string, service_state, std::less<>>& states,
            std::string_view name) {
    const auto* state = find_in(states, name);
    return state != nullptr && *state == service_state::out;
}

} // namespace

std::vector<stage> stages_of(const service& which) {
    if (const auto* steps = std::get_if<pipeline>(&which.shape)) {
        return steps->stages;
    }
    return {stage{which.name, std::get<plain>(which.shape).pool}};
}

std::string workspace_shard(std::string_view name) {
    constexpr unsigned hexadecimal = 16;
    constexpr std::string_view digits = "0123456789abcdef";
    const auto shard = stable_hash(name) % workspace_shards;
    return {digits[shard / hexadecimal], digits[shard % hexadecimal]};
}

const service* snapshot::find_service(std::string_view name) const {
    return find_in(services, name);
}

const workspace* snapshot::find_workspace(std::string_view name) const {
    return find_in(workspaces, name);
}

const pool* snapshot::find_pool(std::string_view name) const {
    return find_in(pools, name);
}

const profile* snapshot::find_profile(std::string_view name) const {
    return find_in(profiles, name);
}

bool snapshot::is_in(std::string_view data_centre, std::string_view endpoint) const {
    return !is_out(data_centres, data_centre) && !is_out(endpoints, endpoint);
}

} // namespace boragefront::config
