/// \file
/// What processes of endpoints asked for while their registrations are missing.
#pragma once

#include "balancing/announced_limit.hpp"
#include "balancing/cold_limiter.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace boragefront::balancing {

/// What the process of an endpoint asked for in its responses, and how much of that was used. It
/// holds for the process, whether or not that is registered, and for no other process.
struct process_terms {
    time_point paused_until{}; ///< it accepts no requests before
    announced_limit limit;
    cold_limiter cold;
};

/// Keeps the terms of processes that are not registered at present. A registration may expire while
/// its process is at work, as in an outage of the platform, and come back. Bounded: terms that do
/// not matter any more are dropped, and otherwise those of the processes that have been missing
/// for longest. Reads no clock.
class unlisted_processes {
public:
    /// Keeps the terms of a process whose registration has gone.
    /// \param incarnation of the endpoint; terms of an unknown one (0) are not kept, as the next
    /// process with its id could not be told from it.
    void keep(std::string_view id, std::uint64_t incarnation, const process_terms& terms,
              time_point now);

    /// Removes the terms of a process that is registered again.
    /// \returns them; those of a new process if none were kept.
    process_terms take(std::string_view id, std::uint64_t incarnation);

    /// Records that a process accepts no requests for a time.
    void pause(std::string_view id, std::uint64_t incarnation, milliseconds retry_after,
               time_point now);

    /// Records a limit, if terms of the process are kept.
    /// \param endpoint `stable_hash` of its id.
    void record_limit(std::uint64_t endpoint, std::uint64_t incarnation,
                      const limit_report& report);

    std::size_t size() const { return processes_.size(); }

private:
    struct process {
        process_terms terms;
        time_point missing_since{};
    };
    void purge(time_point now);

    // By hash of the id, and incarnation.
    std::map<std::pair<std::uint64_t, std::uint64_t>, process> processes_;
};

} // namespace boragefront::balancing
