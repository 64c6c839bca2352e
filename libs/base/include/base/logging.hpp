/// \file
/// Structured logs by Boost.Log: one line per change of state, as key=value or JSON.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace boragefront {

enum class log_format : std::uint8_t { key_value, json };

/// Sends log lines to standard error in the given format.
/// \param instance identity of this process, on every line.
void init_logging(log_format format, std::string instance);

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

/// As `log_change`, for changes that want an operator's attention.
void log_warning(std::string_view component, std::string_view event,
                 std::initializer_list<log_field> fields = {});

} // namespace boragefront
