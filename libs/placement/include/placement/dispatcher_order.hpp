/// \file
/// Selection of the entries that dispatch for stage services. Pure: entries with the same view of
/// the fleet make the same selection without communicating.
///
/// A dispatcher handles each piece of its service. In a fleet of unequal machines, a plain weighted
/// hash places some services on entries that are too slow for it or whose link is too narrow; their
/// callers then give up waiting for it and dispatch by themselves.
#pragma once

#include "base/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace boragefront::placement {

/// An entry that has just started is still opening connections and reading the published state, and
/// responds after the timeout of a dispatch request.
inline constexpr milliseconds settling_time{2'000};
/// Entries that start within this time count as settled together. After a restart of all of them,
/// the dispatchers would otherwise change with each one that reaches the settling time.
inline constexpr milliseconds start_spread{1'000};
/// Longer times make no difference to the order.
inline constexpr milliseconds max_serving_for = settling_time + start_spread;

/// An entry that may dispatch.
struct candidate {
    std::string id;
    double processors{1};        ///< its share of processor cores; above 0
    double link_mbps{0};         ///< bandwidth of its network link; 0: unknown
    milliseconds serving_for{0}; ///< how long it has accepted work; 0: unknown
    bool late{false};            ///< others observe that it responds late

    bool operator==(const candidate&) const = default;
};

/// Whether all candidates have the same processors and the same bandwidth, as far as it is known.
bool is_uniform(const std::vector<candidate>& candidates);

/// Ranks the candidates for a service.
///
/// In a uniform fleet the order is that of `weighted_rendezvous_score` by processors. Otherwise the
/// first candidates are those that have at least half of the capacity of the best one, have been
/// serving for some time and are not late. While there are enough of these, no two services have
/// the same first candidate.
/// \param stage_services names of all stage services; a service that is missing counts as the last
/// \returns the ids of all candidates, the preferred dispatcher first
std::vector<std::string> dispatcher_order(std::string_view service,
                                          std::vector<std::string> stage_services,
                                          const std::vector<candidate>& candidates);

} // namespace boragefront::placement
