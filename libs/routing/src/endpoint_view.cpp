/// \file
#include "routing/endpoint_view.hpp"

#include <algorithm>

namespace boragefront::routing {

std::string_view to_string(exclusion reason) {
    switch (reason) {
    case exclusion::none:
        return "none";
    case exclusion::stale:
        return "stale";
    case exclusion::not_serving:
        return "not_serving";
    case exclusion::leaving:
        return "leaving";
    case exclusion::out:
        return "out";
    case exclusion::suspected:
        return "suspected";
    }
    return "none";
}

exclusion exclusion_of(const endpoint_status& status, time_point heard_at, time_point now) {
    if (!status.in_rotation) {
        return exclusion::out;
    }
    if (status.leaving) {
        return exclusion::leaving;
    }
    if (now - heard_at > status.validity) {
        return exclusion::stale;
    }
    return status.serving ? exclusion::none : exclusion::not_serving;
}

double load_of(const endpoint_view& endpoint) {
    const auto reported = endpoint.reported_in_flight + endpoint.reported_queued;
    const auto added =
        endpoint.own_in_flight - std::min(endpoint.own_in_flight, endpoint.own_in_flight_at_report);
    const auto finished = endpoint.own_in_flight_at_report -
                          std::min(endpoint.own_in_flight, endpoint.own_in_flight_at_report);
    const auto total = reported + added - std::min(reported + added, finished);
    const unsigned limit = std::max(1U, endpoint.limit);
    return static_cast<double>(std::max(endpoint.own_in_flight, total)) / limit;
}

double expected_delay_of(const endpoint_view& endpoint) {
    const double limit = std::max(1U, endpoint.limit);
    const auto service_time = std::max(endpoint.service_time, microseconds{1});
    return (load_of(endpoint) + 1.0 / limit) * static_cast<double>(service_time.count());
}

remote_time expiry_on_remote_clock(const endpoint_view& endpoint, time_point deadline) {
    return {endpoint.clock.since_epoch + (deadline - endpoint.heard_at)};
}

} // namespace boragefront::routing
