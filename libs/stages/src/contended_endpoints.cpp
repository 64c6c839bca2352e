#include "stages/contended_endpoints.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::stages {
namespace {

double best_score(std::string_view endpoint, const std::vector<weighted_entry>& entries) {
    double best = 0;
    for (const auto& one : entries) {
        best = std::max(best, weighted_rendezvous_score(endpoint, one.id, one.processors));
    }
    return best;
}

} // namespace

std::set<std::string, std::less<>>
contended_endpoints(const std::vector<catalog::endpoint>& endpoints, std::string_view service,
                    std::string_view self, const std::vector<weighted_entry>& seen,
                    const std::vector<weighted_entry>& silent) {
    std::set<std::string, std::less<>> others;
    if (silent.empty()) {
        return others;
    }
    bool any_own = false;
    std::string_view nearest;
    std::uint64_t nearest_score = 0;
    for (const auto& one : endpoints) {
        if (one.service != service) {
            continue;
        }
        if (best_score(one.id, silent) > best_score(one.id, seen)) {
            others.insert(one.id);
        } else {
            any_own = true;
        }
        if (const auto score = rendezvous_score(one.id, self); score >= nearest_score) {
            nearest = one.id;
            nearest_score = score;
        }
    }
    if (!any_own && !nearest.empty()) {
        others.erase(others.find(nearest));
    }
    return others;
}

} // namespace boragefront::stages
