/// \file
/// The choice of an endpoint among those that work may be sent to.
#pragma once

#include "base/random.hpp"
#include "config/types.hpp"
#include "routing/endpoint_view.hpp"

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

namespace boragefront::routing {

/// The one that would be done sooner of two that are drawn at random.
struct power_of_two_choices {};

/// Each in turn.
struct round_robin {
    std::uint64_t turn{0};
};

/// The one with the fewest attempts of this process in flight.
struct least_in_flight {};

/// Any.
struct uniform_random {};

/// How one is chosen among equally eligible endpoints.
using choice_policy = std::variant<power_of_two_choices, round_robin, least_in_flight, uniform_random>;

/// What the choice depends on besides the endpoints.
struct choice_request {
    std::string_view data_centre; ///< of this process
    std::string_view prefix;      ///< the prompt prefix for affinity; empty for none
    config::affinity prefix_affinity{};
    config::spill spilling{};
};

/// Chooses an endpoint: untried before tried, own data centre before others while it has room,
/// then by prompt prefix or by the policy. Excluded endpoints are passed over; suspected ones are
/// the last resort.
/// \returns null if all are excluded; else a pointer into `endpoints`.
const endpoint_view* choose(std::span<const endpoint_view> endpoints, const choice_request& request,
                            choice_policy& policy, random_source& random);

/// The part of a request body that affinity hashes: the member "prompt" of a JSON object, or else
/// the whole body, cut to `bytes`.
std::string_view prompt_prefix(std::string_view body, unsigned bytes);

} // namespace boragefront::routing
