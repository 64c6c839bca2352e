#include "dispatch_order.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

const std::vector<wire::entry_info>& other_candidates(const dispatching_entry& self,
                                                      const fleet_view& fleet) {
    return self.draining && fleet.serving.empty() ? fleet.alive : fleet.serving;
}

} // namespace

bool defers_dispatch(const dispatching_entry& self, const fleet_view& fleet, time_point now) {
    return self.draining && (!fleet.serving.empty() || now >= self.draining->withdrawn_at());
}

std::vector<placement::candidate>
dispatch_candidates(const dispatching_entry& self, const fleet_view& fleet,
                    const std::function<bool(const wire::entry_info&)>& is_late, time_point now) {
    std::vector<placement::candidate> candidates;
    for (const auto& entry : other_candidates(self, fleet)) {
        candidates.push_back(
            {entry.id, entry.processors, entry.link_mbps, entry.serving_for, is_late(entry)});
    }
    if (!defers_dispatch(self, fleet, now)) {
        candidates.push_back(self.info);
    }
    for (auto& one : candidates) {
        // In whole seconds, so that the selection is not repeated with each gossip message.
        one.serving_for = std::min<milliseconds>(
            std::chrono::floor<std::chrono::seconds>(one.serving_for), placement::max_serving_for);
    }
    return candidates;
}

std::vector<wire::entry_info>
entries_to_ask(const std::vector<std::string>& order, const dispatching_entry& self,
               const fleet_view& fleet,
               const std::function<bool(const wire::entry_info&)>& is_excluded) {
    std::vector<wire::entry_info> entries;
    for (const auto& id : order) {
        if (id == self.info.id || entries.size() == max_dispatchers) {
            break;
        }
        const auto& others = other_candidates(self, fleet);
        const auto found = std::find_if(others.begin(), others.end(),
                                        [&](const auto& entry) { return entry.id == id; });
        if (found != others.end() && !is_excluded(*found)) {
            entries.push_back(*found);
        }
    }
    return entries;
}

} // namespace boragefront::gateway
