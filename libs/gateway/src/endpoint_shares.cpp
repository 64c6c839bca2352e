#include "endpoint_shares.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::gateway {
namespace {

// Several gossip exchanges. If none has succeeded by then, the entry is taken to be alone.
constexpr seconds max_starting_time{1};

std::vector<stages::weighted_entry> to_shares(const std::vector<wire::entry_info>& entries) {
    std::vector<stages::weighted_entry> shares;
    shares.reserve(entries.size() + 1);
    for (const auto& entry : entries) {
        shares.push_back({entry.id, entry.processors});
    }
    return shares;
}

// All endpoints of a service except one in `entries`, at least one. Which ones an entry keeps
// depends on its id, so that entries which do not know of each other keep different ones.
std::set<std::string, std::less<>>
endpoints_of_unknown(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                     std::string_view self, std::size_t entries) {
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (const auto& endpoint : endpoints) {
        if (endpoint.service == service) {
            ranked.emplace_back(rendezvous_score(endpoint.id, self), endpoint.id);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    const auto kept = std::max<std::size_t>(ranked.size() / entries, 1);
    ranked.resize(ranked.size() - std::min(kept, ranked.size()));
    std::set<std::string, std::less<>> left;
    for (const auto& [score, id] : ranked) {
        left.emplace(id);
    }
    return left;
}

} // namespace

bool is_starting(const fleet_view& fleet, time_point serving_since, time_point now) {
    return fleet.alive.empty() && may_hold_former_results(fleet, serving_since, now);
}

// An entry without peers or seeds has no former peers that could use the endpoints.
bool may_hold_former_results(const fleet_view& fleet, time_point serving_since, time_point now) {
    return fleet.max_entry_count > 1 && now - serving_since < max_starting_time;
}

std::set<std::string, std::less<>>
endpoints_of_others(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    const endpoint_sharing& sharing) {
    const auto& [fleet, self, other, starting] = sharing;
    if (starting) {
        return endpoints_of_unknown(endpoints, service, self.id, fleet.max_entry_count);
    }
    auto visible = to_shares(fleet.alive);
    visible.push_back(self);
    auto left =
        stages::contended_endpoints(endpoints, service, self.id, visible, to_shares(fleet.silent));
    if (other != nullptr) {
        // Of the visible entries only the two dispatchers have work for the service.
        auto rest = endpoints;
        std::erase_if(rest, [&](const auto& endpoint) { return left.contains(endpoint.id); });
        left.merge(stages::contended_endpoints(rest, service, self.id, {self},
                                               {{other->id, other->processors}}));
    }
    return left;
}

std::uint64_t sharing_hash(const std::vector<catalog::endpoint>& endpoints,
                           std::string_view service, const endpoint_sharing& sharing) {
    const auto& [fleet, self, other, starting] = sharing;
    if (fleet.silent.empty() && other == nullptr && !starting) {
        return 0;
    }
    auto hash = stable_hash(other == nullptr ? "" : other->id, starting ? 1 : 0);
    for (const auto& entry : fleet.silent) {
        hash = stable_hash(entry.id, hash);
    }
    for (const auto& entry : fleet.alive) {
        hash = stable_hash(entry.id, hash);
    }
    for (const auto& endpoint : endpoints) {
        hash = endpoint.service == service ? stable_hash(endpoint.id, hash) : hash;
    }
    return hash;
}

} // namespace boragefront::gateway
