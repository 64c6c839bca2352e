/// \file
/// Endpoints that announced in a response that they leave.
#pragma once

#include "catalog/types.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::catalog {

/// An announcement reaches this process also while the platform does not, and before the
/// registration changes. It holds for one incarnation. Reads no clock.
class leaving_endpoints {
public:
    /// Records an announcement.
    /// \param incarnation of the endpoint that was asked.
    /// \returns whether it is the first one.
    bool record(const std::string& id, std::uint64_t incarnation, time_point now);

    /// Marks the endpoints that leave as draining.
    void apply_to(std::vector<endpoint>& endpoints) const;

    /// Forgets announcements of endpoints that have long shut down.
    void purge(time_point now);

    std::size_t size() const { return announced_at_.size(); }

private:
    std::map<std::pair<std::string, std::uint64_t>, time_point>
        announced_at_; // last announcement, by id and incarnation
};

} // namespace boragefront::catalog
