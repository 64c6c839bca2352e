/// \file
/// Which entries respond late, as this entry and others observe. Reads no clock.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::placement {

/// An entry in one of its incarnations.
using entry_life = std::pair<std::string, incarnation>;

/// Observes how fast other entries respond to requests for dispatch.
class response_monitor {
public:
    /// Records a response.
    void record_response(const entry_life& entry, duration elapsed, time_point now);
    /// Records that an entry did not respond within the timeout of a request.
    void record_missed(const entry_life& entry, duration timeout, time_point now);

    /// The entries whose responses lately took long on average or did not come.
    std::vector<entry_life> late(time_point now) const;

private:
    struct observation {
        double mean_ms{0};
        time_point at{};
    };
    void record(const entry_life& entry, double elapsed_ms, time_point now);

    std::map<entry_life, observation> observations_;
};

/// Combines the observations of several entries. One observer alone may be slow itself, or have a
/// slow link.
class lateness_reports {
public:
    /// Records what an observer currently reports; an empty list withdraws its earlier reports.
    void record(const std::string& observer, std::vector<entry_life> late, time_point now);

    /// Whether enough of the observers that were heard lately report an entry, or did until
    /// recently.
    bool is_late(const entry_life& entry, time_point now) const;

private:
    struct report {
        std::vector<entry_life> late;
        time_point at{};
    };
    bool is_reported(const entry_life& entry) const;

    std::map<std::string, report> reports_; // by observer
    std::map<entry_life, time_point> late_until_;
};

} // namespace boragefront::placement
