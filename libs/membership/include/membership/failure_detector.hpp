/// \file
/// Local failure detection: what this process observed in its own calls to instances.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace boragefront::membership {

/// Consecutive failures of one instance, and how long it is excluded because of them.
struct instance_health {
    unsigned consecutive_failures{0};
    time_point suspected_until{};
    time_point refusing_until{}; ///< the instance refuses new work
};

/// Suspects an instance after several consecutive failures, for a period that doubles with each
/// further failure. Once the period ends, the outcome of the next attempt decides.
class failure_detector {
public:
    /// The instance answered successfully.
    void on_success(std::string_view id);

    /// The instance answered with a failure, could not be reached, or its connection broke.
    void on_failure(std::string_view id, time_point now);

    /// The instance did not answer in time. Suspects it immediately, as after several failures.
    void on_timeout(std::string_view id, time_point now);

    /// The instance refused new work. Skips it until its next heartbeats report its state.
    void on_refusal(std::string_view id, time_point now);

    bool is_refusing(std::string_view id, time_point now) const;
    bool is_suspected(std::string_view id, time_point now) const;

    const std::map<std::string, instance_health, std::less<>>& instances() const {
        return instances_;
    }

private:
    instance_health& find_or_add(std::string_view id);

    std::map<std::string, instance_health, std::less<>> instances_;
};

} // namespace boragefront::membership
