/// \file
/// Dumps the entry's state as JSON for operators.
#pragma once

#include "entry_core.hpp"

#include <string>

namespace boragefront::entry {

/// The endpoints with their load and exclusion reason, the budgets and the requests in flight.
std::string dump_state(const entry_core& core, time_point now);

} // namespace boragefront::entry
