#include "stages/contended_endpoints.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::stages {
namespace {

double best_score(std::string_view endpoint, const std::vector<weighted_entry>& entries) {
    double best = 0;
    for (const auto& entry : entries) {
        best = std::max(best, weighted_rendezvous_score(endpoint, entry.id, entry.processors));
    }
    return best;
}

} // namespace

std::set<std::string, std::less<>>
contended_endpoints(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    std::string_view self, const std::vector<weighted_entry>& reachable,
                    const std::vector<weighted_entry>& unresponsive) {
    std::set<std::string, std::less<>> contended;
    if (unresponsive.empty()) {
        return contended;
    }
    bool has_own = false;
    std::string_view fallback;
    std::uint64_t fallback_score = 0;
    for (const auto& endpoint : endpoints) {
        if (endpoint.service != service) {
            continue;
        }
        if (best_score(endpoint.id, unresponsive) > best_score(endpoint.id, reachable)) {
            contended.insert(endpoint.id);
        } else {
            has_own = true;
        }
        if (const auto score = rendezvous_score(endpoint.id, self); score >= fallback_score) {
            fallback = endpoint.id;
            fallback_score = score;
        }
    }
    if (!has_own && !fallback.empty()) {
        contended.erase(contended.find(fallback));
    }
    return contended;
}

} // namespace boragefront::stages
