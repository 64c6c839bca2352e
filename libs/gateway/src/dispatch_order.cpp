#include "dispatch_order.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

constexpr std::size_t max_dispatchers = 2; // after these, the entry dispatches locally

} // namespace

bool defers_dispatch(const dispatching_entry& self, const fleet_view& fleet, time_point now) {
    return self.draining && (!fleet.serving.empty() || now >= self.draining->withdrawn_at());
}

std::vector<wire::entry_info>
dispatch_order(std::string_view service, const dispatching_entry& self, const fleet_view& fleet,
               const std::function<bool(const std::string&)>& is_excluded, time_point now) {
    const auto score = [&](std::string_view id, double processors) {
        return weighted_rendezvous_score(service, id, processors);
    };
    const auto own_score = score(self.id, self.processors);
    const bool defers = defers_dispatch(self, fleet, now);
    const auto& candidates = self.draining && fleet.serving.empty() ? fleet.alive : fleet.serving;
    std::vector<wire::entry_info> order;
    for (const auto& entry : candidates) {
        if (!is_excluded(entry.id) && (defers || score(entry.id, entry.processors) > own_score)) {
            order.push_back(entry);
        }
    }
    std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        return score(a.id, a.processors) > score(b.id, b.processors);
    });
    order.resize(std::min(order.size(), max_dispatchers));
    return order;
}

} // namespace boragefront::gateway
