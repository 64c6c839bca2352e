/// \file
/// Equal shares for flows of work that compete for a service. Pure: reads no clock.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace boragefront::fairness {

/// What one piece of work occupies at an endpoint.
struct piece_demand {
    microseconds endpoint_time{0}; ///< its share of the duration of a full call
    double memory_fraction{0};     ///< part of the endpoint's result memory that its result takes
    std::size_t batch{1};          ///< pieces of a full call
};

/// Cost of a piece in ms of an endpoint: its time, and if the results of a full call take more than
/// a quarter of the memory for results, also the part of the memory times the time held.
double piece_cost(const piece_demand& demand);

/// The flows that have waiting work.
struct contention {
    std::size_t waiting_flows{0};
    /// Use above the limit that defers nothing, as a cost; work of one call is a suitable value,
    /// since flows are served in calls.
    double tolerance{0};
};

/// Measures what flows of one priority used lately. Use decays with a time constant of 2 s.
class fair_share {
public:
    /// Position of a waiting flow's next work among the flows of the same priority: less is served
    /// first.
    /// \returns 0 unless the flow used more than twice an equal share; else its use in equal shares
    double position(std::string_view flow, const contention& contention, time_point now) const;

    /// Records that work of a flow was started.
    /// \param cost in ms of an endpoint
    void charge(std::string_view flow, double cost, time_point now);

    /// What a flow used lately, as a part of all use; between 0 and 1.
    double used_part(std::string_view flow, time_point now) const;

    /// The same of each flow whose use has not decayed.
    std::map<std::string, double> used_parts(time_point now) const;

    /// Forgets flows whose use has decayed.
    void purge(time_point now);

private:
    struct decaying_sum {
        double amount{0};
        time_point at{};
        double value(time_point now) const;
        void add(double added, time_point now);
    };

    std::map<std::string, decaying_sum, std::less<>> flows_;
    decaying_sum total_;
};

} // namespace boragefront::fairness
