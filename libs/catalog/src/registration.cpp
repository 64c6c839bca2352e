#include "catalog/registration.hpp"

namespace boragefront::catalog {
namespace {

// Well below the 2 s after which an endpoint that left must not get any work.
constexpr milliseconds missing_grace{1'200};

} // namespace

registration_status status_of(const endpoint& registered, time_point now) {
    if (registered.state != endpoint_state::ready) {
        return registration_status::withdrawn;
    }
    if (!registered.removed_at) {
        return registration_status::ready;
    }
    return now - *registered.removed_at < missing_grace ? registration_status::missing
                                                        : registration_status::withdrawn;
}

} // namespace boragefront::catalog
