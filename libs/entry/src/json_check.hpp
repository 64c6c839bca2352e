/// \file
/// Validates JSON text.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace boragefront::entry {

/// \returns the parse error, or nothing if the text is valid JSON.
std::optional<std::string> json_fault(std::string_view text);

} // namespace boragefront::entry
