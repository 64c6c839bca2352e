/// \file
/// A recorded trace: requests with their arrival times and the outcomes expected of them.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <istream>
#include <string>
#include <vector>

namespace boragefront::replay {

/// What a request's answer is judged against.
struct expectation {
    std::string outcome; ///< "answer" or the name of an error kind
    std::string marker;  ///< the request's own text, which its answer must carry; may be empty
};

/// One request of a trace.
struct trace_entry {
    milliseconds arrival{0}; ///< since the trace's start
    std::string workspace;
    std::string service;
    std::string body; ///< as sent
    milliseconds deadline{0};
    bool repeatable{true};
    bool stream{false};
    expectation expected;
};

/// Reads a trace of JSON lines.
/// \returns the entries in the order of arrival, or `bad_request` with the line and the field.
result<std::vector<trace_entry>> read_trace(std::istream& lines);

/// Reads a trace from a file. \returns errors as `read_trace`; the detail names the file.
result<std::vector<trace_entry>> load_trace(const std::string& file);

} // namespace boragefront::replay
