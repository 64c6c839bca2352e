/// \file
/// Requests of entries as typed values.
#pragma once

#include "home_history.hpp"
#include "http/message.hpp"
#include "work_scheduler.hpp"

#include <string>

namespace boragefront::sidecar {

/// `POST /v1/work`
struct work_message {
    offered_work offered;
    std::string service;
    bool stream{false};
    revision sender_revision{0};
    sidecar_ids released_by; ///< the sidecars that gave the idempotency key up
    std::string input;       ///< JSON
};

/// `POST /v1/outcome` and `POST /v1/acknowledge`
struct work_reference {
    work_id id;
    incarnation life{0}; ///< 0 if none was named
};

/// Reads the identity of the work that a request is about.
/// \returns `bad_request` naming the header.
result<work_reference> read_reference(const http::request& message);

/// Reads a request for work.
/// \returns `bad_request` naming the header, or `body` for input that is not JSON.
result<work_message> read_work(const http::request& message);

/// The highest revision that the sender of any request holds; 0 if it names none.
revision read_revision(const http::request& message);

} // namespace boragefront::sidecar
