#include "endpoint_shares.hpp"

#include "base/hash.hpp"

namespace boragefront::gateway {
namespace {

std::vector<stages::weighted_entry> to_shares(const std::vector<wire::entry_info>& entries) {
    std::vector<stages::weighted_entry> shares;
    shares.reserve(entries.size() + 1);
    for (const auto& entry : entries) {
        shares.push_back({entry.id, entry.processors});
    }
    return shares;
}

} // namespace

std::set<std::string, std::less<>>
endpoints_of_others(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    const endpoint_sharing& sharing) {
    const auto& [fleet, self, other] = sharing;
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
    const auto& [fleet, self, other] = sharing;
    if (fleet.silent.empty() && other == nullptr) {
        return 0;
    }
    auto hash = stable_hash(other == nullptr ? "" : other->id);
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
