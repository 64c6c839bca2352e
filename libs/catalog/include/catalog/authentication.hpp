/// \file
/// Authentication of requests by their API keys.
#pragma once

#include "base/error.hpp"
#include "catalog/types.hpp"

#include <string_view>

namespace boragefront::catalog {

/// Finds the workspace that a request belongs to.
/// \param key of the request; empty if it carries none.
/// \returns the workspace of the key, or null if requests of this route need no key;
/// `unauthorized` if a key is needed and this one belongs to no workspace.
result<const workspace*> authenticate(const configuration& config, const route& requested,
                                      std::string_view key);

} // namespace boragefront::catalog
