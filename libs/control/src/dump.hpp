/// \file
/// The control plane's state as JSON, for the dump.
#pragma once

#include "control/control_plane.hpp"
#include "control_core.hpp"

#include <string>

namespace boragefront::control {

/// What a dump is made of.
struct dump_sources {
    const membership::instance& self;
    const control_core& core;
    const config::snapshot& in_force;
    const heard_sidecars& heard;
    bool ready;
    bool reader;
    std::string role_state; ///< JSON, or empty
};

/// \param now for ages.
std::string make_dump(const dump_sources& sources, time_point now);

} // namespace boragefront::control
