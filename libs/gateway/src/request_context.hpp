/// \file
/// Objects shared by all request handlers. Traffic thread only.
#pragma once

#include "base/byte_budget.hpp"
#include "http/client.hpp"
#include "stage_scheduler.hpp"
#include "traffic_state.hpp"

#include <boost/asio/any_io_executor.hpp>

namespace boragefront::gateway {

/// The references must outlive all requests.
struct request_context {
    boost::asio::any_io_executor executor;
    traffic_state& state;
    http::client& endpoints;
    stage_scheduler& stages;
    byte_budget& memory; ///< of messages in progress
};

} // namespace boragefront::gateway
