/// \file
/// Helpers for requests and scripted sidecars.
#pragma once

#include "harness.hpp"

#include <initializer_list>
#include <string>

namespace boragefront::entry::testing {

inline constexpr auto order_key = "01890a5d-ac96-774b-bcce-b302099a8057";

inline http::header_list with_idempotency_key() {
    http::header_list headers;
    headers.set("Idempotency-Key", order_key);
    return headers;
}

inline http::header_list with_deadline(milliseconds deadline) {
    http::header_list headers;
    headers.set("Deadline-Ms", std::to_string(deadline.count()));
    return headers;
}

inline fake_sidecar::script refusing(error_kind kind) {
    return [kind](const http::request& message, http::responder& out) {
        return refuse(message, out, make_error(kind, "refused by the script"));
    };
}

// Closes the connection of the work without an answer; `outcome` answers all other messages.
inline fake_sidecar::script dropping_work(const fake_sidecar::script& outcome) {
    return [outcome](const http::request& message, http::responder& out) -> http::awaitable<void> {
        if (message.target != "/v1/work") {
            co_await outcome(message, out);
        } else {
            out.abandon();
        }
    };
}

inline std::size_t work_requests_sent(std::initializer_list<const fake_sidecar*> sidecars) {
    std::size_t sent = 0;
    for (const auto* one : sidecars) {
        sent += one->sent_to("/v1/work").size();
    }
    return sent;
}

} // namespace boragefront::entry::testing
