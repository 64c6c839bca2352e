/// \file
/// The bodies of the endpoint's protocol.
#pragma once

#include "endpoint_adapter.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace boragefront::sidecar {

/// The body of `POST /run`.
std::string write_order(const endpoint_order& order);

/// Reads a whole answer.
/// \returns the output as JSON; nothing if it is malformed or answers other work.
std::optional<std::string> read_output(std::string_view body, const work_id& id);

/// Whether a failure says that the work did not run.
bool says_overloaded(unsigned status, std::string_view body);

/// Reads the answer to `GET /load`.
std::optional<load_report> read_load(std::string_view body);

/// Checks the lines of a stream: each in its place, and an end with their count.
class stream_check {
public:
    enum class line_kind : std::uint8_t { token, end, invalid };

    /// Classifies the next line.
    line_kind next(std::string_view line);

private:
    std::uint64_t count_{0};
};

} // namespace boragefront::sidecar
