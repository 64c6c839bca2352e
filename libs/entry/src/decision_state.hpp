/// \file
/// The state of decisions that the traffic threads of one entry share.
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

/// Any thread may call; each call is short and does no I/O.
class decision_state {
public:
    /// \param policy how one is chosen among equally eligible endpoints.
    explicit decision_state(routing::choice_policy policy = routing::power_of_two_choices{})
        : policy_{policy} {}

    /// \copydoc execution::workspace_gate::admit
    result<void> admit(const std::string& workspace, const execution::workspace_limits& limits,
                       time_point now);
    void release(const std::string& workspace);

    /// Chooses among the endpoints and counts the attempt in flight at the chosen one. Fills in
    /// the views' own in-flight counts and what own evidence excludes.
    /// \returns nothing if all are excluded.
    std::optional<routing::endpoint_view> begin_attempt(std::vector<routing::endpoint_view>& views,
                                                        const routing::choice_request& request,
                                                        random_source& random, time_point now);

    /// Counts an attempt in flight at an endpoint that was not chosen, but is its key's home.
    void begin_attempt_at(const std::string& endpoint);
    void end_attempt(const std::string& endpoint);

    /// The load that a sidecar reported on an answer.
    /// \param address the sidecar's data address.
    void record_load(const std::string& address, routing::load_report report, time_point now);

    /// Own evidence of an endpoint's health.
    void record_success(const std::string& endpoint);
    void record_failure(const std::string& endpoint, time_point now);
    void record_timeout(const std::string& endpoint, time_point now);
    void note_refusal(const std::string& endpoint, time_point now);

    /// Fills in what this process has at the endpoint and what own evidence excludes.
    void complete(routing::endpoint_view& view, time_point now) const;

    /// Runs the stage's machine one step under its budgets.
    execution::idempotent_step step(execution::idempotent_stage& machine, const stage_key& key,
                                    const config::profile& profile, time_point now);

    /// A stage has its result: earns budget and records its latency.
    void record_stage_completion(const stage_key& key, duration latency, time_point now);

    /// An attempt took at least this long.
    void record_latency(const stage_key& key, duration latency, time_point now);

    execution::stage_estimate estimate(const stage_key& key, time_point now) const;
    std::optional<duration> quantile(const stage_key& key, double quantile, time_point now) const;

    /// For the dump: what of this state is not in a view of an endpoint.
    boost::json::object dump(time_point now) const;

private:
    struct stage_state {
        execution::stage_budgets budgets;
        execution::recent_latency latency;
    };

    // The latest load that a sidecar reported on an answer.
    struct noted_load {
        routing::load_report report;
        time_point noted_at;
        unsigned own_in_flight{0}; ///< at that time
    };

    void refresh(routing::endpoint_view& view) const;
    void complete_locked(routing::endpoint_view& view, time_point now) const;
    stage_state& stage_of(const stage_key& key, const config::profile* profile);
    const stage_state* find_stage(const stage_key& key) const;

    mutable std::mutex mutex_;
    std::map<std::string, execution::workspace_limiter, std::less<>> workspaces_;
    std::map<std::string, unsigned, std::less<>> in_flight_;
    std::map<std::string, noted_load, std::less<>> loads_;                 ///< by data address
    std::map<std::string, std::string, std::less<>> endpoints_by_address_; ///< of `loads_`
    membership::failure_detector evidence_;
    std::map<stage_key, stage_state> stages_;
    routing::choice_policy policy_;
};

} // namespace boragefront::entry
