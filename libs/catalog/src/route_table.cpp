#include "catalog/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace boragefront::catalog {
namespace {

std::string canonical_host(std::string_view host) {
    std::string lower{host.substr(0, host.find(':'))};
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

} // namespace

route_table route_table::make(const std::vector<route>& routes) {
    route_table table;
    for (const auto& one : routes) {
        table.by_host_[canonical_host(one.host)].push_back(&one);
    }
    for (auto& [host, prefixes] : table.by_host_) {
        std::stable_sort(prefixes.begin(), prefixes.end(), [](const route* a, const route* b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    return table;
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto found = by_host_.find(canonical_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const auto match =
        std::find_if(found->second.begin(), found->second.end(),
                     [&](const route* one) { return path.starts_with(one->prefix); });
    return match == found->second.end() ? nullptr : *match;
}

std::string_view choose_service(const route& from, double draw) {
    const auto total =
        std::accumulate(from.services.begin(), from.services.end(), 0.0,
                        [](double sum, const auto& one) { return sum + one.weight; });
    double remaining = draw * total;
    std::string_view chosen;
    for (const auto& one : from.services) {
        if (one.weight > 0) {
            chosen = one.service; // the last one also if rounding leaves a remainder
            if (remaining < one.weight) {
                break;
            }
        }
        remaining -= one.weight;
    }
    return chosen;
}

} // namespace boragefront::catalog
