/// \file
/// Structured logs by Boost.Log: one line per change of state or decision, as key=value or JSON.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace boragefront {

enum class log_format : std::uint8_t { key_value, json };

/// Sends log lines to standard output in the given format. Lines are written by a thread of their
/// own from a queue of bounded length: a reader that is slow or has stopped delays nothing, and
/// what does not fit is left out and counted. Lines wait for `start_log_writer`.
/// \param instance identity of this process, on every line.
void init_logging(log_format format, std::string instance);

/// Begins to write, so that a program can print something else first.
void start_log_writer();

/// Bounds the lines of `log_decision`; 0 leaves them all out.
void set_decision_rate(unsigned lines_per_second);

/// Lines that were left out since the start, by the bound on decisions or because the queue was
/// full.
std::uint64_t log_lines_left_out();

/// Waits until the queue is written, for as long as given at most.
void flush_logs(milliseconds at_most);

/// One field of a log line.
struct log_field {
    std::string_view name;
    std::string value;
};

/// Writes a line for a change of state.
/// \param component the module that changed, as in "config".
/// \param event what happened, in snake case, as in "revision_in_force".
void log_change(std::string_view component, std::string_view event,
                std::initializer_list<log_field> fields = {});

/// As `log_change`, for one decision that touches a request. Bounded by `set_decision_rate`; the
/// number of lines that were left out stands on the next line that is written.
void log_decision(std::string_view component, std::string_view event,
                  std::initializer_list<log_field> fields = {});

/// As `log_change`, for changes that want an operator's attention.
void log_warning(std::string_view component, std::string_view event,
                 std::initializer_list<log_field> fields = {});

} // namespace boragefront
