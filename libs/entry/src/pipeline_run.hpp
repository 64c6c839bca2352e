/// \file
/// Walks the stages of one request under its deadline and answers the caller.
#pragma once

#include "caller_request.hpp"
#include "http/server.hpp"
#include "stage_run.hpp"

namespace boragefront::entry {

/// Runs all stages of a valid, admitted request and sends its one answer.
/// \returns the error that the caller got, for the counters.
awaitable<result<void>> run_pipeline(traffic_context& context, caller_request request,
                                     http::responder& out);

} // namespace boragefront::entry
