/// \file
/// Checks that a text is JSON without building its value.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace boragefront::entry {

/// \returns what is wrong with the text, or nothing if it is JSON.
std::optional<std::string> json_fault(std::string_view text);

} // namespace boragefront::entry
