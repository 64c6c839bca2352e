/// \file
/// Whether an endpoint still runs after it has ended a connection.
#pragma once

#include "base/time.hpp"
#include "http/client.hpp"

#include <string>

namespace boragefront::gateway {

/// The process that a check is about.
struct checked_endpoint {
    std::string id;
    std::string address;
    std::string health_path; ///< of its service
};

/// Outcome of a check.
struct survival {
    bool survived{false};
    std::string reason; ///< for the log
};

/// Checks by its health path whether an endpoint still runs, healthy or not. It does if it
/// responds, or accepts the check and takes its time. It has ended if nothing accepts connections
/// at its address, or another endpoint does. A check that is reset is repeated: an endpoint resets
/// connections above its limit, and one that is ending closes its port last.
/// \param cancel ends the check, as not survived; must outlive it.
http::awaitable<survival> check_survival(http::client& client, checked_endpoint endpoint,
                                         http::cancel_source& cancel);

} // namespace boragefront::gateway
