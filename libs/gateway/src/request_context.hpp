/// \file
/// What requests use: traffic thread only.
#pragma once

#include "http/client.hpp"
#include "stage_scheduler.hpp"
#include "traffic_state.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace boragefront::gateway {

/// References outlive all requests.
struct gateway_parts {
    boost::asio::any_io_executor executor;
    traffic_state& state;
    http::client& endpoints;
    stage_exchange& stages;
};

} // namespace boragefront::gateway
