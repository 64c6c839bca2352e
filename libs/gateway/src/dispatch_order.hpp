/// \file
/// Which entry queues the pieces of a stage service for all. Pure.
#pragma once

#include "base/time.hpp"
#include "traffic_state.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::gateway {

/// The entry that decides.
struct dispatching_entry {
    std::string_view id;
    double processors{0}; ///< its share, by which entries take services
    const std::optional<drain_plan>& draining;
};

/// Whether an entry dispatches for nobody: it drains, and others serve or it may exit. Work of
/// others would delay its successor.
bool leaves_dispatch_to_others(const dispatching_entry& self, const fleet_view& fleet,
                               time_point now);

/// The other entries to ask, the first choice first; after them an entry dispatches for itself.
/// While none serves, as in a restart of all, those that have begun to drain still share one
/// queue: a queue at each would send to the same endpoints without knowing of the others.
/// \param passed_over whether an entry is not asked now
std::vector<wire::entry_info>
dispatch_order(std::string_view service, const dispatching_entry& self, const fleet_view& fleet,
               const std::function<bool(const std::string&)>& passed_over, time_point now);

} // namespace boragefront::gateway
