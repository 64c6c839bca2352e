/// \file
/// Times and limits of one request.
#pragma once

#include "base/time.hpp"

namespace boragefront::gateway {

inline constexpr milliseconds default_time_left{30'000}; ///< of a caller that names none
inline constexpr milliseconds no_endpoint_retry{500};    ///< to come back after, if nothing tells
inline constexpr unsigned inputs_lost_limit = 2;         ///< times that results are made again
inline constexpr unsigned status_ok = 200;

} // namespace boragefront::gateway
