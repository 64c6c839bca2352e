/// \file
/// The faults of a soak, drawn by seed.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragefront::soak {

/// What is done to the deployment from outside.
enum class fault_kind : std::uint8_t {
    gateway_killed,        ///< SIGKILL, and started again at the end
    gateway_stopped,       ///< SIGTERM, and started again at the end
    gateway_frozen,        ///< SIGSTOP, SIGCONT at the end
    gateway_stop_frozen,   ///< SIGTERM, then frozen until the end
    gateway_stop_killed,   ///< SIGTERM, then SIGKILL while it stops
    endpoint_restarted,    ///< ends, and another takes its address at the end
    endpoint_drained,      ///< registers as leaving, and as ready at the end
    endpoint_unregistered, ///< its entry disappears while it serves
    endpoint_refusing,     ///< states that it does not run requests
    endpoint_failing,      ///< answers 500
    endpoint_resetting,    ///< runs and closes the connection
    endpoint_silent,       ///< runs and never answers
    endpoint_doubling,     ///< answers twice
    endpoint_confused,     ///< sends another request's answer first
    endpoint_cutting,      ///< breaks off in the middle of the answer
    endpoint_unsigned,     ///< answers without a receipt
    endpoint_slow,         ///< takes a multiple of its time
    link_cut,              ///< connections to an endpoint are reset, new ones refused
    link_held,             ///< bytes to and from an endpoint wait
    link_silent,           ///< connections to an endpoint are silent for good, new ones too
    link_old_silent,       ///< established connections to an endpoint are silent for good
    link_requests_lost,    ///< cut one way: to the endpoint
    link_answers_lost,     ///< cut one way: from the endpoint
    link_delayed,          ///< answers of an endpoint come late
    front_cut,             ///< as for links, between callers and a gateway
    front_held,
    front_old_silent,
    front_answers_lost,
    store_refusing,        ///< 503 to every call
    store_limiting,        ///< 429 to every call
    store_silent,          ///< takes calls and does not answer
    store_compacted,       ///< forgets its history and cuts watches
    store_unreachable,     ///< for one gateway
    configuration_stormed, ///< new versions in quick succession
};

std::string_view to_string(fault_kind kind);

/// What a fault strikes.
enum class fault_target : std::uint8_t {
    gateway,
    endpoint,
    link,
    front,
    store,
    store_link,
    operators
};

fault_target target_of(fault_kind kind);

/// One fault.
struct planned_fault {
    fault_kind kind{};
    std::size_t place{0};   ///< index of its target
    milliseconds begins{0}; ///< since the start
    milliseconds lasts{0};
};

/// Sizes of the deployment.
struct soak_sizes {
    std::size_t gateways{3};
    std::size_t endpoints{10};
};

/// A span without faults in which the system has to serve again.
struct calm_span {
    milliseconds begins{0};
    milliseconds ends{0};
};

struct soak_plan {
    std::vector<planned_fault> faults; ///< ordered by their beginnings
    std::vector<calm_span> calm;
    milliseconds length{0};
};

/// Storms of overlapping faults with calm spans between them. No target has two faults of one sort
/// at a time. \param length approximate
soak_plan draw_plan(std::uint64_t seed, milliseconds length, const soak_sizes& sizes);

std::string to_string(const planned_fault& planned);

} // namespace boragefront::soak
