/// \file
/// The routing, limit and retry state that the traffic threads of one entry share.
#pragma once

#include "base/error.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "config/types.hpp"
#include "execution/attempt_budget.hpp"
#include "execution/deadline_plan.hpp"
#include "execution/idempotent_stage.hpp"
#include "execution/recent_latency.hpp"
#include "execution/workspace_limiter.hpp"
#include "membership/failure_detector.hpp"
#include "routing/choice.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::entry {

/// Names one stage of one service.
struct stage_key {
    std::string service;
    std::string stage;
    auto operator<=>(const stage_key&) const = default;
};

/// Thread-safe; no call performs I/O.
class decision_state {
public:
    /// \param policy chooses among equally eligible endpoints.
    explicit decision_state(routing::choice_policy policy = routing::power_of_two_choices{})
        : policy_{policy} {}

    /// \copydoc execution::workspace_limiter::admit
    result<void> admit(const std::string& workspace, const execution::workspace_limits& limits,
                       time_point now);
    void release(const std::string& workspace);

    /// Chooses an endpoint and counts the attempt as in flight there. Updates the views with this
    /// process's in-flight counts and the exclusions by its failure detector.
    /// \returns nothing if all endpoints are excluded.
    std::optional<routing::endpoint_view> begin_attempt(std::vector<routing::endpoint_view>& views,
                                                        const routing::choice_request& request,
                                                        random_source& random, time_point now);

    /// Counts an attempt as in flight at a given endpoint, such as the home of an idempotency key.
    void begin_attempt_at(const std::string& endpoint);
    void end_attempt(const std::string& endpoint);

    /// Records the load that a sidecar reported with an answer.
    /// \param address the sidecar's data address.
    void record_load(const std::string& address, routing::load_report report, time_point now);

    /// Records an observation in the failure detector.
    void record_success(const std::string& endpoint);
    void record_failure(const std::string& endpoint, time_point now);
    void record_timeout(const std::string& endpoint, time_point now);
    void record_refusal(const std::string& endpoint, time_point now);

    /// Updates a view with this process's in-flight count and the exclusions by its failure
    /// detector.
    void apply_local_state(routing::endpoint_view& view, time_point now) const;

    /// Advances the stage's state machine by one step under the stage's retry and hedge budgets.
    execution::idempotent_step step(execution::idempotent_stage& machine, const stage_key& key,
                                    const config::profile& profile, time_point now);

    /// Records the latency of a successful stage and adds to its retry and hedge budgets.
    void record_stage_completion(const stage_key& key, duration latency, time_point now);

    /// Records a lower bound of an attempt's latency.
    void record_latency(const stage_key& key, duration latency, time_point now);

    execution::stage_estimate estimate(const stage_key& key, time_point now) const;
    std::optional<duration> quantile(const stage_key& key, double quantile, time_point now) const;

    /// The stage budgets, latencies and workspace counts as JSON, for the dump.
    boost::json::object dump(time_point now) const;

private:
    struct stage_state {
        execution::stage_budgets budgets;
        execution::recent_latency latency;
    };

    // The latest load that a sidecar reported with an answer.
    struct received_load {
        routing::load_report report;
        time_point received_at;
        unsigned own_in_flight{0}; ///< when the report was received
    };

    void apply_local_load(routing::endpoint_view& view) const;
    void apply_local_state_locked(routing::endpoint_view& view, time_point now) const;
    stage_state& stage_of(const stage_key& key, const config::profile* profile);
    const stage_state* find_stage(const stage_key& key) const;

    mutable std::mutex mutex_;
    std::map<std::string, execution::workspace_limiter, std::less<>> workspaces_;
    std::map<std::string, unsigned, std::less<>> in_flight_;
    std::map<std::string, received_load, std::less<>> loads_;              ///< by data address
    std::map<std::string, std::string, std::less<>> endpoints_by_address_; ///< of `loads_`
    membership::failure_detector failure_detector_;
    std::map<stage_key, stage_state> stages_;
    routing::choice_policy policy_;
};

} // namespace boragefront::entry
