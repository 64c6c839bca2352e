/// \file
/// Back-off times that several parts of the stage queue use.
#pragma once

#include "base/time.hpp"

namespace boragefront::stages {

inline constexpr milliseconds full_backoff{40}; ///< until a full endpoint is tried again

} // namespace boragefront::stages
