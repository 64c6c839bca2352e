#include "dispatch_order.hpp"

#include "base/hash.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

constexpr std::size_t dispatchers_asked = 2; // then the entry has the pieces made itself

} // namespace

bool leaves_dispatch_to_others(const dispatching_entry& self, const fleet_view& fleet,
                               time_point now) {
    return self.draining && (!fleet.serving.empty() || now >= self.draining->withdrawn_at());
}

std::vector<wire::entry_info>
dispatch_order(std::string_view service, const dispatching_entry& self, const fleet_view& fleet,
               const std::function<bool(const std::string&)>& passed_over, time_point now) {
    const auto score = [&](std::string_view id, double processors) {
        return weighted_rendezvous_score(service, id, processors);
    };
    const auto own = score(self.id, self.processors);
    const bool leaves = leaves_dispatch_to_others(self, fleet, now);
    const auto& others = self.draining && fleet.serving.empty() ? fleet.alive : fleet.serving;
    std::vector<wire::entry_info> order;
    for (const auto& one : others) {
        if (!passed_over(one.id) && (leaves || score(one.id, one.processors) > own)) {
            order.push_back(one);
        }
    }
    std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        return score(a.id, a.processors) > score(b.id, b.processors);
    });
    order.resize(std::min(order.size(), dispatchers_asked));
    return order;
}

} // namespace boragefront::gateway
