/// \file
/// From a key and its JSON value to a typed value, or the first fault in it.
#pragma once

#include "base/error.hpp"
#include "config/types.hpp"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace boragefront::config {

/// `workspaces/<shard>`
struct workspace_shard_value {
    std::string shard;
    std::vector<workspace> workspaces;
};

/// `data_centres/<name>`
struct data_centre_setting {
    std::string name;
    service_state state{service_state::in};
};

/// `endpoints/<id>`
struct endpoint_setting {
    std::string id;
    service_state state{service_state::in};
};

/// The value of any key.
using typed_value = std::variant<profile, service, pool, workspace_shard_value, data_centre_setting,
                                 endpoint_setting>;

/// Largest value that the platform holds.
inline constexpr std::size_t value_bytes_limit = 1U << 20U;

/// Reads the value of a key. Comments are allowed.
/// \param key as in "services/orders".
/// \param text JSON.
/// \returns `bad_request` whose field is "key: path" and whose detail says what was found and what
/// is allowed; `too_large` beyond `value_bytes_limit`.
result<typed_value> parse_value(std::string_view key, std::string_view text);

} // namespace boragefront::config
