/// \file
/// Takes the place of the roles until both are merged; nothing starts.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "settings/settings.hpp"

#include <memory>
#include <string>

namespace boragefront {

template <int Which>
class absent_role {
public:
    static result<std::unique_ptr<absent_role>> start(const settings::daemon_settings& /*settings*/,
                                                      metrics_registry& /*metrics*/) {
        return make_error(error_kind::unavailable, "this role is not part of the build");
    }
    void request_shutdown() {}
    void wait() {}
    std::string data_address() const { return {}; }
    std::string control_address() const { return {}; }
};

namespace entry {
using entry_node = absent_role<0>;
}
namespace sidecar {
using sidecar_node = absent_role<1>;
}

} // namespace boragefront
