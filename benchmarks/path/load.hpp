/// \file
/// Callers on the wall clock: at a fixed rate, in a closed loop, and of streams.
#pragma once

#include "base/time.hpp"
#include "http/message.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragefront::path_bench {

/// One kind of call.
struct target {
    std::vector<std::string> addresses; ///< taken in turn
    http::request message;
};

/// What came of the calls to one target.
struct call_results {
    std::vector<double> milliseconds; ///< of whole answers, sorted
    std::uint64_t failed{0};
    std::uint64_t tokens{0};

    /// \param q 0 to 1. \pre there are whole answers.
    double quantile(double q) const;
};

/// Calls the targets in turn, each at the same fixed rate, whatever the answers take.
/// \param rate calls a second to each target.
std::vector<call_results> at_fixed_rate(const std::vector<target>& targets, unsigned rate,
                                        seconds length);

/// Keeps a number of calls in progress for a while.
/// \param threads of callers, each with its share of the calls.
call_results in_closed_loop(const target& called, unsigned in_progress, unsigned threads,
                            seconds length);

/// As `in_closed_loop`, of streams whose `token` events are counted.
call_results streams_in_closed_loop(const target& called, unsigned in_progress, unsigned threads,
                                    seconds length);

} // namespace boragefront::path_bench
