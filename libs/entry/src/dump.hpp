/// \file
/// The entry's state as JSON, for operators.
#pragma once

#include "entry_core.hpp"

#include <string>

namespace boragefront::entry {

/// Endpoints as this process sees them with load and why they are not chosen, budgets, requests in
/// flight.
std::string dump_state(const entry_core& core, time_point now);

} // namespace boragefront::entry
