/// \file
/// The sidecar's state for people and for heartbeats.
#pragma once

#include "traffic.hpp"

#include <string>

namespace boragefront::sidecar {

/// The dump's JSON object.
std::string write_dump(const published_state& state, incarnation life, time_point now);

/// The heartbeat's report. A traffic thread that has stopped to publish is not serving.
control::sidecar_report make_report(const published_state& state, incarnation life, time_point now);

} // namespace boragefront::sidecar
