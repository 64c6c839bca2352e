/// \file
/// The steps common to all attempts: choosing an endpoint, one exchange with its sidecar, and
/// recording the endpoint's health.
#pragma once

#include "stage_run.hpp"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace boragefront::entry {

/// Holds an attempt's in-flight count at an endpoint for its own lifetime.
class in_flight_slot {
public:
    /// \pre the attempt was counted by `decision_state::begin_attempt`.
    in_flight_slot(decision_state& decisions, std::string endpoint)
        : decisions_{&decisions}, endpoint_{std::move(endpoint)} {}
    ~in_flight_slot() {
        if (decisions_ != nullptr) {
            decisions_->end_attempt(endpoint_);
        }
    }
    in_flight_slot(in_flight_slot&& other) noexcept
        : decisions_{std::exchange(other.decisions_, nullptr)}, endpoint_{
                                                                    std::move(other.endpoint_)} {}
    in_flight_slot& operator=(in_flight_slot&&) = delete;

private:
    decision_state* decisions_;
    std::string endpoint_;
};

/// An endpoint that was chosen for an attempt.
struct chosen_endpoint {
    routing::endpoint_view view;
    in_flight_slot slot;
};

using endpoint_ids = std::set<std::string, std::less<>>;

/// Chooses an endpoint for an attempt; waits for a bounded time if the pool's endpoints are
/// unknown or excluded temporarily.
/// \param tried endpoints of earlier attempts.
/// \returns `no_endpoint` if none can be chosen.
awaitable<result<chosen_endpoint>> choose_endpoint(traffic_context& context, const stage_plan& plan,
                                                   const endpoint_ids& tried);

/// The endpoint of the home sidecar of the plan's idempotency key. Waits within the deadline if the
/// home is excluded temporarily. If a home takes no new work, the next one in rank is used; it runs
/// the key only after the former home has released it.
/// \param ended an incarnation of the home that is known to have ended, or 0.
/// \param leaving_homes homes that refused the key because they are shutting down.
/// \returns `no_endpoint` if the home cannot be reached or takes no work.
awaitable<result<chosen_endpoint>> home_endpoint(traffic_context& context, const stage_plan& plan,
                                                 incarnation ended,
                                                 const endpoint_ids& leaving_homes);

/// An endpoint by its id, even if it takes no new work.
/// \returns nothing if its heartbeats are stale or it is unknown.
std::optional<chosen_endpoint> reachable_endpoint(traffic_context& context, const std::string& id);

/// The target of an attempt at this endpoint, with the time by which it must begin there.
work_target target_at(const routing::endpoint_view& endpoint, const stage_plan& plan);

/// The answer of a sidecar to one message about one piece of work.
struct work_answer {
    std::string body;
    microseconds service_time{0};
};

using exchange_outcome = std::variant<work_answer, work_failure>;

/// Records the load that a sidecar reports with an answer.
void record_reported_load(traffic_context& context, const std::string& address,
                          const http::response& head);

/// Sends a message about a piece of work and reads the complete answer. An answer for other work is
/// discarded, and the connections to that sidecar are closed.
awaitable<exchange_outcome> exchange(traffic_context& context, std::string address, work_id id,
                                     http::request message, http::call_options options);

/// Updates the failure detector after a failed exchange, and closes the idle connections to an
/// endpoint that failed on the network or timed out.
void record_health_evidence(traffic_context& context, const routing::endpoint_view& endpoint,
                            const work_failure& failed, time_point now);

/// How the time spent by an endpoint was used.
enum class cost_use : std::uint8_t {
    useful,    ///< the result that was used
    hedged,    ///< another attempt of the stage won
    retried,   ///< failed
    late,      ///< its result arrived after the winner's
    abandoned, ///< the deadline passed or the caller disconnected
};

/// Counts endpoint time spent for a stage.
void count_cost(traffic_context& context, const stage_key& key, cost_use use, duration spent);

/// Suspends the coroutine until a time.
awaitable<void> sleep_until(boost::asio::any_io_executor executor, time_point until);

} // namespace boragefront::entry
