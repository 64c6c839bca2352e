/// \file
/// Why the dispatcher of a stage service changes. Reads no clock.
#pragma once

#include "placement/dispatcher_order.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::placement {

enum class change_reason : std::uint8_t {
    joined,    ///< the new dispatcher was no candidate before, or had just started serving
    left,      ///< the former one, or that of another service, is not reachable or has restarted
    draining,  ///< the former one accepts no new work
    late,      ///< the former one responds late
    recovered, ///< the new one responded late before
    capacity,  ///< a candidate has other processors or another bandwidth than before, or the stage
               ///< services are others
};

std::string_view to_string(change_reason reason);

/// A change of the dispatcher of a service.
struct dispatcher_change {
    std::string before;
    std::string after;
    change_reason reason{change_reason::capacity};
};

/// Follows who dispatches for each service.
class dispatcher_history {
public:
    /// Records the dispatcher that was selected among the candidates.
    /// \param alive ids of the entries that respond, including draining ones
    /// \returns the change, if there was a dispatcher before and it was another one; nothing in a
    /// fleet that was uniform before and is
    std::optional<dispatcher_change> update(const std::string& service, const std::string& selected,
                                            const std::vector<candidate>& candidates,
                                            const std::vector<std::string>& alive);

private:
    struct selection {
        std::string dispatcher;
        std::vector<candidate> candidates;
    };
    std::map<std::string, selection> selections_; // by service
};

} // namespace boragefront::placement
