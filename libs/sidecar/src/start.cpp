/// \file
/// Starts a sidecar with the real control plane.
#include "sidecar/sidecar_node.hpp"

namespace boragefront::sidecar {

result<std::unique_ptr<sidecar_node>> sidecar_node::start(const settings::daemon_settings& settings,
                                                          metrics_registry& metrics) {
    return start(settings, metrics, control::control_plane::start);
}

} // namespace boragefront::sidecar
