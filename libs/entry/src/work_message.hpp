/// \file
/// The messages between an entry and a sidecar (docs/PROTOCOLS.md).
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "config/types.hpp"
#include "execution/at_most_once.hpp"
#include "http/message.hpp"
#include "routing/endpoint_view.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::entry {

/// The work of one stage for a sidecar, the same for all attempts.
struct stage_work {
    std::string request;
    std::uint32_t stage{0};
    std::string workspace;
    std::string service;
    config::lane lane{config::lane::normal};
    double share{1.0};
    bool repeatable{false};
    std::string key;         ///< the caller's idempotency key, or empty
    std::string released_by; ///< the sidecars that released the key, separated by commas
    bool stream{false};
    std::string body;
};

/// The incarnation of a sidecar that an attempt goes to, and the time by which it must begin.
struct work_target {
    std::string address;
    incarnation life{0};
    remote_time expires_at;
};

http::request make_work_request(const stage_work& work, std::uint32_t attempt,
                                const work_target& target, revision held);

/// Asks a sidecar to release the work's idempotency key, or to return the result if it ran.
http::request make_release_request(const stage_work& work, std::uint32_t attempt,
                                   const work_target& target, revision held);

http::request make_outcome_request(const work_id& id, const work_target& target);

http::request make_acknowledge_request(const work_id& id, const work_target& target);

/// A failure and its origin.
struct work_failure {
    error failure;
    execution::failure_origin origin{execution::failure_origin::exchange};
    microseconds service_time{0}; ///< spent by the endpoint
    /// Other sidecars that may have received the key, if this one does not know its history.
    std::vector<std::string> other_homes{};
};

/// Whether an answer is for this piece of work.
bool is_answer_for(const http::response& head, const work_id& id);

/// The endpoint's own time that an answer reports; zero if it reports none.
microseconds service_time_of(const http::response& head);

/// The revision that an answer carries, or 0.
revision revision_of(const http::response& head);

/// The load of the sidecar that an answer reports. \returns nothing if it reports none.
std::optional<routing::load_report> load_reported_by(const http::response& head);

/// The failure that an answer other than 200 reports. An answer for other work, or
/// without a readable problem document, is reported as a lost connection.
work_failure read_failure(const http::response& answer, const work_id& id);

/// One line of a streamed answer.
struct stream_line {
    bool end{false};
    std::uint64_t index{0}; ///< of a token
    std::string text;       ///< of a token
    std::uint64_t count{0}; ///< of the end
};

/// \returns `incomplete_answer` for a line that is neither a token nor the end.
result<stream_line> read_stream_line(std::string_view line);

/// \returns `stage_failed` if the text of an output is not JSON.
result<void> check_output(std::string_view text);

} // namespace boragefront::entry
