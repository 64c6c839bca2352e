/// \file
/// A rolling restart as operators do it.
#pragma once

#include "deployment.hpp"

#include <vector>

namespace boragefront::faults {

/// Restarts all entries, then all sidecars, each gracefully and in turn, under a load of every
/// service that the deployment has. \returns all answers
std::vector<call_record> restart_all_under_load(cluster& deployment);

} // namespace boragefront::faults
