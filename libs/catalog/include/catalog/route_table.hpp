/// \file
/// Finds the route of a request.
#pragma once

#include "catalog/types.hpp"

#include <string_view>

namespace boragefront::catalog {

/// Routes by host, looked up by the longest prefix of the path.
class route_table {
public:
    route_table() = default;

    /// \param routes outlive the table.
    static route_table make(const std::vector<route>& routes);

    /// \param host as sent, with or without a port; its case does not matter.
    /// \param path without its query.
    /// \returns the route with the longest prefix that begins the path, or null.
    const route* find(std::string_view host, std::string_view path) const;

private:
    // By lower-case host, longest prefix first.
    std::map<std::string, std::vector<const route*>, std::less<>> by_host_;
};

/// The service that a request of this route goes to.
/// \param draw uniform in [0, 1).
/// \returns an empty view if the route names no service.
std::string_view choose_service(const route& from, double draw);

} // namespace boragefront::catalog
