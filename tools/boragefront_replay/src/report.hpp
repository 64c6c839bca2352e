/// \file
/// What a replay measured, as a table for people and as JSON.
#pragma once

#include "base/time.hpp"
#include "caller.hpp"
#include "stage_cost.hpp"
#include "trace.hpp"

#include <cstddef>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace boragefront::replay {

/// Latencies of the requests that were answered whole.
struct quantiles {
    milliseconds p50{0};
    milliseconds p95{0};
    milliseconds p99{0};
};

/// Counts over a part of a trace. Requests that the trace expects to be refused are not in it.
struct tally {
    std::size_t requests{0};
    std::size_t attained{0};
    std::size_t late{0}; ///< answered whole, after their deadline
    quantiles latency;
};

/// The requests that were due within one second of the trace.
struct second_tally {
    std::size_t requests{0};
    std::size_t attained{0};
};

struct report {
    tally all;
    std::map<std::string, tally> by_service;
    std::map<std::string, std::size_t> outcomes; ///< by kind, all requests
    std::size_t as_expected{0};                  ///< requests with the trace's expected outcome
    std::size_t total{0};
    quantiles first_token;             ///< of streams
    std::vector<second_tally> seconds; ///< by the second of sending
    std::vector<stage_cost> stages;    ///< empty if the entries' metrics were not read
};

/// Share of attained requests, 1 if there were none.
double attainment(const tally& part);

/// Judges each outcome against its request.
/// \param speed of the replay; the seconds are those of its clock.
/// \pre as many outcomes as requests.
report make_report(const std::vector<trace_entry>& trace, const std::vector<outcome>& outcomes,
                   double speed);

/// Writes the tables. \param timeline whether to write a row for each second.
void write_table(std::ostream& out, const report& measured, bool timeline);

std::string to_json(const report& measured);

} // namespace boragefront::replay
