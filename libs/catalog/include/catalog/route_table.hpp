/// \file
/// Lookup of the route of a request.
#pragma once

#include "catalog/types.hpp"

#include <string_view>

namespace boragefront::catalog {

/// Routes by host and path prefix; the longest matching prefix wins.
class route_table {
public:
    route_table() = default;

    /// \param routes must outlive the table.
    static route_table make(const std::vector<route>& routes);

    /// \param host the Host header, with or without a port; case-insensitive.
    /// \param path the path without the query.
    /// \returns the route with the longest prefix of the path, or null.
    const route* find(std::string_view host, std::string_view path) const;

private:
    // Keyed by lower-case host; longest prefix first.
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
};

/// Chooses the service for a request of this route, by weight.
/// \param draw uniform random number in [0, 1).
/// \returns the name of the service, or an empty view if none has a weight above 0.
std::string_view choose_service(const route& from, double draw);

} // namespace boragefront::catalog
