/// \file
/// Load balancing: selects an endpoint among the eligible ones.
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

/// Draws two endpoints at random and takes the one with the shorter expected delay.
struct power_of_two_choices {};

struct round_robin {
    std::uint64_t next{0};
};

/// The endpoint with the fewest attempts of this process in flight.
struct least_in_flight {};

struct uniform_random {};

/// Load-balancing policy among equally eligible endpoints.
using choice_policy =
    std::variant<power_of_two_choices, round_robin, least_in_flight, uniform_random>;

/// Inputs of the selection other than the endpoints.
struct choice_request {
    std::string_view data_centre; ///< data centre of this process
    std::string_view prefix;      ///< prompt prefix for affinity; empty: no affinity
    config::affinity prefix_affinity{};
    config::spill spilling{};
};

/// Selects an endpoint. Endpoints that this stage has not tried yet come first, then those of the
/// own data centre until its load reaches the spill threshold; prompt affinity or the policy
/// decides among the rest. Excluded endpoints are skipped; suspected ones are used only if no other
/// is left.
/// \returns a pointer into `endpoints`, or null if all of them are excluded.
const endpoint_view* choose(std::span<const endpoint_view> endpoints, const choice_request& request,
                            choice_policy& policy, random_source& random);

/// Returns the part of a request body that affinity hashes: the value of the JSON member "prompt",
/// or else the whole body, truncated to `bytes`.
std::string_view prompt_prefix(std::string_view body, unsigned bytes);

} // namespace boragefront::routing
