/// \file
/// Deals requests to entries as the platform's balancer does: by readiness probes.
#pragma once

#include "http/client.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace boragefront::replay {

/// Runs on one thread.
class balancer {
public:
    /// \param entries data addresses; all count as ready until the first probe. \pre not empty.
    /// \param http outlives the balancer.
    balancer(std::vector<std::string> entries, http::client& http);

    /// Probes every entry once. An entry that does not answer 200 gets no requests.
    http::awaitable<void> probe_all();

    /// The entries that the next request may be sent to, in this order: those that are ready,
    /// beginning with the next in turn; all of them if none is ready.
    std::vector<std::string> next();

private:
    struct candidate {
        std::string address;
        bool ready{true};
    };

    std::vector<candidate> entries_;
    http::client& http_;
    std::size_t turn_{0};
};

} // namespace boragefront::replay
