/// \file
/// Whether an endpoint may get new requests, judged by its registration.
#pragma once

#include "catalog/types.hpp"

namespace boragefront::catalog {

enum class registration_status : std::uint8_t {
    ready,
    /// Missing without a report of draining. It may have expired during a platform outage while the
    /// endpoint is at work.
    missing,
    withdrawn, ///< draining, or missing for longer than an outage explains: no new requests
};

/// The status of an endpoint's registration. It changes without a new registration, so it is
/// evaluated whenever an endpoint is chosen, and not stored.
registration_status status_of(const endpoint& registered, time_point now);

} // namespace boragefront::catalog
