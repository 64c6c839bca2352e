/// \file
/// What a caller asks for, read from its HTTP request and checked against the configuration.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "config/types.hpp"
#include "execution/workspace_limiter.hpp"
#include "http/message.hpp"

#include <string>
#include <vector>

namespace boragefront::entry {

/// A valid request of a caller, with what the configuration says of it.
struct caller_request {
    std::string id; ///< UUIDv7 made by this entry
    std::string workspace;
    std::string service;
    std::vector<config::stage> stages;
    config::profile profile;
    execution::workspace_limits limits;
    double share{1.0};
    bool repeatable{false};
    bool stream{false};
    std::string key; ///< the caller's idempotency key, or empty
    time_point arrived_at;
    time_point deadline;
    std::string body;
};

/// What a refusal before anything was sent says: `no`, but `unknown` for keyed work that is not
/// idempotent, as an earlier request may have run the key.
work_ran ran_if_unsent(const caller_request& request);

/// Reads a request of a caller. Faults are reported by their own kinds and fields.
/// \param id identity for the request.
result<caller_request> read_caller_request(const http::request& message,
                                           const config::snapshot& configuration, std::string id,
                                           time_point now);

} // namespace boragefront::entry
