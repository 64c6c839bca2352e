/// \file
/// What this process itself saw of an instance: failures and silence.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace boragefront::membership {

/// Consecutive failures of one instance, and until when it is suspected.
struct instance_evidence {
    unsigned consecutive_failures{0};
    time_point suspected_until{};
    time_point refusing_until{}; ///< it said that it takes no work
};

/// Own evidence of the health of instances. An instance is suspected after several failures in a
/// row, for a time that doubles; then one attempt decides anew.
class failure_detector {
public:
    /// The instance answered as it should.
    void on_success(std::string_view id);

    /// It answered with a failure, could not be reached, or its connection broke.
    void on_failure(std::string_view id, time_point now);

    /// It gave no answer within its time; weighs as several failures.
    void on_timeout(std::string_view id, time_point now);

    /// It said that it takes no new work; passed over until its next heartbeats tell.
    void on_refusal(std::string_view id, time_point now);

    bool is_refusing(std::string_view id, time_point now) const;
    bool is_suspected(std::string_view id, time_point now) const;

    const std::map<std::string, instance_evidence, std::less<>>& all() const { return all_; }

private:
    instance_evidence& of(std::string_view id);

    std::map<std::string, instance_evidence, std::less<>> all_;
};

} // namespace boragefront::membership
