/// \file
/// Default times and limits of a request.
#pragma once

#include "base/time.hpp"

namespace boragefront::gateway {

inline constexpr milliseconds default_timeout{30'000};  ///< if the caller sends no deadline
inline constexpr milliseconds default_retry_after{500}; ///< if the pool gives no estimate
inline constexpr unsigned max_input_losses =
    2; ///< times that lost stage results are produced again
inline constexpr milliseconds endpoint_poll_interval{10}; ///< while all endpoints are busy
inline constexpr unsigned status_ok = 200;

} // namespace boragefront::gateway
