/// \file
/// Mapping of call errors to outcomes for the endpoint pool.
#pragma once

#include "balancing/endpoint_pool.hpp"
#include "base/error.hpp"

namespace boragefront::gateway {

inline balancing::send_outcome to_send_outcome(const error& failure) {
    switch (failure.kind) {
    case error_kind::connect_failed:
        return balancing::send_outcome::unreachable;
    case error_kind::deadline_exceeded:
        return balancing::send_outcome::timed_out;
    case error_kind::cancelled:
        return balancing::send_outcome::cancelled;
    default:
        return balancing::send_outcome::broken;
    }
}

} // namespace boragefront::gateway
