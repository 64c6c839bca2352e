/// \file
/// Times that several parts of the stage queue use.
#pragma once

#include "base/time.hpp"

namespace boragefront::stages {

inline constexpr milliseconds full_hold{40}; ///< until a full endpoint is asked again

} // namespace boragefront::stages
