/// \file
/// Endpoints of a simulated stage service.
#pragma once

#include "catalog/types.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace boragefront::stages {

/// Returns this number of ready endpoints of the service "stage".
inline std::vector<catalog::endpoint> make_endpoints(std::size_t count) {
    std::vector<catalog::endpoint> endpoints(count);
    for (std::size_t i = 0; i < count; ++i) {
        endpoints[i].id = "endpoint-" + std::to_string(i);
        endpoints[i].address = endpoints[i].id;
        endpoints[i].service = "stage";
    }
    return endpoints;
}

} // namespace boragefront::stages
