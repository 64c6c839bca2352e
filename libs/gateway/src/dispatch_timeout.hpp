/// \file
/// How long an entry waits for a dispatcher.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

namespace boragefront::gateway {

/// Time after the request to a dispatcher from which its response counts as lost. Until then a
/// dispatcher that is alive is waited for, even if its endpoints are slow: running the pieces a
/// second time through another entry would slow the endpoints down further. \param expected time
/// announced by the dispatcher, for endpoints at their normal speed
constexpr milliseconds dispatch_timeout(milliseconds expected) {
    constexpr int factor = 6; // tolerates endpoints at a sixth of their normal speed
    constexpr milliseconds margin{2'000};
    return expected * factor + margin;
}

/// Whether a dispatcher that took no stage work counts as late. One that refuses has responded: it
/// does not know the service, or it is draining. \param failure of the request to the dispatcher
constexpr bool counts_as_late(error_kind failure) {
    return failure != error_kind::unavailable;
}

} // namespace boragefront::gateway
