/// \file
/// Plays a trace against entries by its arrival times.
#pragma once

#include "base/time.hpp"
#include "caller.hpp"
#include "trace.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace boragefront::replay {

/// How far a replay has come.
struct progress {
    std::size_t sent{0};
    std::size_t ended{0};
    std::size_t attained{0};
    std::size_t total{0};
};

struct play_options {
    std::vector<std::string>
        entries;       ///< "ip:port" of each; requests are dealt to the ready ones in turn
    double speed{1.0}; ///< arrivals come this many times as fast
    std::function<void(const progress&)> on_progress; ///< called now and then; may be empty
};

/// Plays the whole trace and waits for every answer.
/// \returns one outcome for each request, in the trace's order.
std::vector<outcome> play(const std::vector<trace_entry>& trace, const play_options& options);

} // namespace boragefront::replay
