/// \file
/// Instances as listed by the platform.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace boragefront::membership {

enum class instance_role : std::uint8_t { entry, sidecar };
enum class instance_state : std::uint8_t { live, leaving };

/// One process of the system.
struct instance {
    std::string id; ///< for a sidecar, the name of its endpoint
    instance_role role{instance_role::entry};
    std::string data_centre;
    std::string pool;            ///< of a sidecar; empty for an entry
    std::string data_address;    ///< "ip:port" of its HTTP server
    std::string control_address; ///< "ip:port" of its control server
    instance_state state{instance_state::live};
    auto operator<=>(const instance&) const = default;
};

/// The known instances, ordered by id.
struct instance_list {
    std::vector<instance> instances;
};

} // namespace boragefront::membership
