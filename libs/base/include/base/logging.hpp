/// \file
/// Structured logging on Boost.Log: one line per state change or decision, as key=value or JSON.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace boragefront {

enum class log_format : std::uint8_t { key_value, json };

/// Sets up logging to standard output in the given format. A dedicated thread writes the lines from
/// a bounded queue, so that a slow or blocked reader of standard output delays no caller; lines
/// that do not fit are dropped and counted. Nothing is written before `start_log_writer`.
/// \param instance ID of this process, written on every line.
void init_logging(log_format format, std::string instance);

/// Starts the thread that writes the queued lines. Separate from `init_logging`, so that a program
/// can print to standard output first.
void start_log_writer();

/// Limits the rate of `log_decision`; 0 drops all its lines.
void set_decision_rate(unsigned lines_per_second);

/// Number of lines dropped since the start, by the rate limit on decisions or because the queue was
/// full.
std::uint64_t dropped_log_lines();

/// Waits until the queued lines are written, for at most `timeout`.
void flush_logs(milliseconds timeout);

struct log_field {
    std::string_view name;
    std::string value;
};

/// Logs a state change.
/// \param component the module that changed, such as "config".
/// \param event what happened, in snake case, such as "revision_in_force".
void log_change(std::string_view component, std::string_view event,
                std::initializer_list<log_field> fields = {});

/// Logs a decision about a request. Limited by `set_decision_rate`; the number of lines dropped is
/// logged after the next line that is written.
void log_decision(std::string_view component, std::string_view event,
                  std::initializer_list<log_field> fields = {});

/// Logs a state change that needs an operator's attention, at level warning.
void log_warning(std::string_view component, std::string_view event,
                 std::initializer_list<log_field> fields = {});

} // namespace boragefront
