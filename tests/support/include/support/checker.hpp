/// \file
/// Judges a test by the endpoints' ledgers and the callers' answers alone.
#pragma once

#include "base/time.hpp"
#include "support/caller.hpp"

#include <cstdint>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace boragefront::support {

/// The start of a run, as an endpoint recorded it.
struct recorded_start {
    std::string endpoint; ///< name of the ledger's file, without extension
    std::string identity;
    std::string marker;
    time_point at;
    std::size_t running{0};
    std::size_t running_cold{0};
    bool turned_cold{false}; ///< it had become cold without a word
};

/// All ledgers of a deployment, over all lives of its endpoints.
struct recorded_runs {
    std::vector<recorded_start> starts;
    std::set<std::string> finished_markers{};
    std::size_t falls{0}; ///< times that an endpoint fell over
};

recorded_runs read_ledgers(const std::vector<std::filesystem::path>& files);

struct checked_limits {
    std::size_t running{SIZE_MAX};      ///< at one endpoint
    std::size_t running_cold{SIZE_MAX}; ///< at one endpoint that has started or fallen over
};

/// What the ledgers and the answers show together.
struct verdict {
    std::vector<std::string> faults; ///< invariants that were broken, one line each
    std::size_t calls{0};
    std::size_t whole{0};
    std::size_t not_run{0}; ///< calls answered `ran: no`
    std::size_t orders{0};  ///< pieces of work that may run once
    std::size_t orders_whole{0};
    std::size_t orders_not_run{0};
    std::size_t orders_failed{0};                   ///< answered `ran: yes` with a failure
    std::size_t orders_unknown{0};                  ///< left open to the caller by every answer
    std::map<std::string, std::size_t> not_whole{}; ///< calls by service, kind and detail

    /// Share of the orders whose outcome the callers do not know.
    double unknown_share() const;
};

/// Checks that every answer is the caller's own and whole, no order ran twice, nothing that was
/// always answered `ran: no` is in a ledger, everything answered whole is, and limits were kept.
verdict check(const std::vector<call_record>& answers, const recorded_runs& runs,
              const checked_limits& limits);

/// One line with the figures of a verdict, and its faults.
std::string to_string(const verdict& judged);

} // namespace boragefront::support
