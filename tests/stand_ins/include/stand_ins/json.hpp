/// \file
/// Reading of JSON by the stand-ins.
#pragma once

#include "base/error.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>

namespace boragefront::stand_ins {

/// Parses JSON with comments. \returns `bad_request` with the parser's message.
result<boost::json::value> parse_json(std::string_view text);

/// Reads and parses a file. \returns `bad_request` whose field is the file's name.
result<boost::json::value> load_json(const std::filesystem::path& file);

/// The number in member `name` of an object, or `fallback` if there is none.
double number_or(const boost::json::object& object, std::string_view name, double fallback);

/// As `number_or`, for counts and milliseconds.
std::int64_t integer_or(const boost::json::object& object, std::string_view name,
                        std::int64_t fallback);

/// The boolean in member `name` of an object, or `fallback` if there is none.
bool flag_or(const boost::json::object& object, std::string_view name, bool fallback);

/// The string in member `name` of an object, or an empty one.
std::string string_or_empty(const boost::json::object& object, std::string_view name);

} // namespace boragefront::stand_ins
