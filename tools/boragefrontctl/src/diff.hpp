/// \file
/// Compares two configuration trees by the values of their fields, comments aside.
#pragma once

#include "base/error.hpp"
#include "tree.hpp"

#include <optional>
#include <string>
#include <vector>

namespace boragefront::ctl {

/// One field that differs. A whole key that exists on one side only has an empty path.
struct difference {
    std::string key;
    std::string path;
    std::optional<std::string> before; ///< as JSON; nothing if absent
    std::optional<std::string> after;
};

/// All differences, ordered by key and path.
/// \returns `bad_request` whose field is the key of a value that is not JSON.
result<std::vector<difference>> compare(const tree& before, const tree& after);

} // namespace boragefront::ctl
