/// \file
/// The steps that all attempts share: choosing an endpoint, one exchange with its sidecar, and
/// what the outcome tells of the endpoint.
#pragma once

#include "stage_run.hpp"

#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

namespace boragefront::entry {

/// Counts an attempt in flight at an endpoint while it exists.
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

/// Chooses an endpoint for an attempt; waits a little while those of the pool are unknown.
/// \param tried endpoints of earlier attempts.
/// \returns `no_endpoint` if none can be chosen.
awaitable<result<chosen_endpoint>> choose_endpoint(traffic_context& context, const stage_plan& plan,
                                                   const endpoint_ids& tried);

/// The endpoint whose sidecar is the home of the plan's idempotency key, waited for within the
/// deadline while it may return. A home that says that it takes no work is followed by the next
/// one, which runs the key only once the former has given it up. \param left homes that refused the
/// key because they are leaving. \param ended an incarnation of it that is known to have ended, or
/// 0. \returns `no_endpoint` if it cannot be reached or takes no work.
awaitable<result<chosen_endpoint>> home_endpoint(traffic_context& context, const stage_plan& plan,
                                                 incarnation ended, const endpoint_ids& left);

/// An endpoint by its id, whether it takes work or not.
/// \returns nothing if it was not heard from lately.
std::optional<chosen_endpoint> reachable_endpoint(traffic_context& context, const std::string& id);

/// Where an attempt at this endpoint goes, and until when it may begin there.
work_target target_at(const routing::endpoint_view& endpoint, const stage_plan& plan);

/// The answer of a sidecar to one message about one piece of work.
struct work_answer {
    std::string body;
    microseconds service_time{0};
};

using exchange_outcome = std::variant<work_answer, work_failure>;

/// Takes up the load that a sidecar reports on an answer.
void note_reported_load(traffic_context& context, const std::string& address,
                        const http::response& head);

/// Sends a message about a piece of work and reads the whole answer. An answer for other work is
/// dropped, and the connections to that sidecar are closed.
awaitable<exchange_outcome> exchange(traffic_context& context, std::string address, work_id id,
                                     http::request message, http::call_options options);

/// What a failed exchange tells of the endpoint's health.
void note_evidence(traffic_context& context, const routing::endpoint_view& endpoint,
                   const work_failure& failed, time_point now);

/// What endpoint time was spent for.
enum class cost_use : std::uint8_t {
    useful,    ///< the result that was used
    hedged,    ///< lost to another attempt of its stage
    retried,   ///< failed
    late,      ///< a result after the winner's
    abandoned, ///< the deadline passed or the caller went
};

/// Counts endpoint time spent for a stage.
void count_cost(traffic_context& context, const stage_key& key, cost_use use, duration spent);

/// Sleeps on the context's executor.
awaitable<void> pause_until(boost::asio::any_io_executor executor, time_point until);

} // namespace boragefront::entry
