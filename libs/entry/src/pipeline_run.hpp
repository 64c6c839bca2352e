/// \file
/// Runs the stages of one request in order under its deadline and answers the caller.
#pragma once

#include "caller_request.hpp"
#include "http/server.hpp"
#include "stage_run.hpp"

namespace boragefront::entry {

/// Runs all stages of a valid, admitted request and sends the answer.
/// \returns the error sent to the caller, for the counters.
awaitable<result<void>> run_pipeline(traffic_context& context, caller_request request,
                                     http::responder& out);

} // namespace boragefront::entry
