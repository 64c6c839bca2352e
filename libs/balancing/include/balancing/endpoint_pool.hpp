/// \file
/// Load balancing among the endpoints of one service, from the state that this entry observes.
#pragma once

#include "balancing/announced_limit.hpp"
#include "balancing/cold_limiter.hpp"
#include "balancing/entry_group.hpp"
#include "balancing/unlisted_processes.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "capacity/endpoint_estimates.hpp"
#include "catalog/types.hpp"
#include "continuation/version.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::balancing {

/// Outcome of a request to an endpoint.
enum class send_outcome : std::uint8_t {
    answered,    ///< a complete answer that reports no failure of the endpoint
    failed,      ///< a complete answer that reports a failure of the endpoint
    refused,     ///< the endpoint did not run the request
    replaced,    ///< another endpoint uses the address now
    broken,      ///< connection reset, incomplete or malformed answer
    timed_out,   ///< no answer in time
    unreachable, ///< no connection
    cancelled,   ///< cancelled by this process; not attributed to the endpoint
};

/// Load as reported by an endpoint.
using reported_load = capacity::load_observation;

/// Constraints and preferences for choosing an endpoint.
struct choice_request {
    std::string_view affinity{};         ///< equal for requests that share a prompt
    std::string_view near_data_centre{}; ///< preferred among endpoints of equal cost
    /// Preferred unless its endpoints are overloaded; with `affinity`: ranked before all others.
    std::string_view affinity_data_centre{};
    std::string_view inputs_data_centre{};       ///< holds the inputs; empty: none of note
    std::uint64_t input_bytes{0};                ///< to transfer to any other data centre
    const std::set<std::string>* tried{nullptr}; ///< endpoints that must not be chosen again
    const std::set<std::string>* allowed_data_centres{nullptr}; ///< null: all
    /// Data centres to choose from only if no other one has an endpoint; null: none.
    const std::set<std::string, std::less<>>* avoided_data_centres{nullptr};
    /// Software version at which a stream goes on; empty: any.
    std::optional<continuation::version_key> version{};
    /// Maximum cost at which the endpoint that shares the prompt is chosen regardless of its load.
    milliseconds affinity_max_wait{0};
    /// Time lost by a failure; weighs the failure rate of an endpoint.
    milliseconds failure_cost{500};
};

/// A chosen endpoint.
struct chosen_endpoint {
    std::string id;
    std::string address;
    std::string data_centre;
    std::uint64_t incarnation{0};
    continuation::version_key version{continuation::version_key::unknown};
};

/// What an entry tells others of the limit of an endpoint.
struct shared_limit {
    std::uint64_t endpoint{0}; ///< `stable_hash` of its id
    std::uint64_t incarnation{0};
    limit_report report;
};

/// A limit that an endpoint announces, and this entry's share of it.
struct limit_description {
    double per_second{0}; ///< of all entries together
    double share{0};      ///< of this entry; 0: none
    milliseconds age{0};  ///< of the response that any entry received last
};

/// State of one endpoint, for dumps.
struct endpoint_description {
    catalog::endpoint endpoint;
    std::string not_chosen_because; ///< "none" if it may be chosen
    std::size_t open_requests{0};   ///< sent by this entry
    reported_load load;
    std::optional<milliseconds> load_age; ///< empty: no load report received
    milliseconds latency{0};              ///< typical time to the first byte; 0: unknown
    double failure_rate{0};
    /// Empty if the service's endpoints do not report their slowness.
    std::optional<capacity::endpoint_estimate> estimate{};
    std::optional<limit_description> limit{}; ///< empty: the endpoint announces none
};

/// Why no endpoint can be chosen.
enum class unavailability : std::uint8_t {
    none_in_service, ///< the service has no endpoint in service
    all_unavailable, ///< all are at their cold limit or backed off after a failure
};

/// Chooses among the endpoints of one service. Holds no connections and reads no clock.
class endpoint_pool {
public:
    /// Replaces the endpoints. Keeps the observed state of those that remain, and what a process
    /// asked for also while it is not listed.
    void set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                       const std::set<std::string, std::less<>>& evacuated,
                       const catalog::service& service, time_point now);

    /// Chooses an endpoint for a request.
    std::optional<chosen_endpoint> choose(const choice_request& request, const cold_limit& cold,
                                          const entry_group& group, time_point now,
                                          random_source& random);

    /// The endpoint with this id, if it is in service and has not failed recently.
    std::optional<chosen_endpoint> find_healthy(const std::string& id, time_point now) const;

    /// The healthy endpoint that requests with this shared prompt prefer, regardless of load.
    /// \param data_centre considers only endpoints in this data centre; empty: all.
    std::optional<chosen_endpoint> affinity_endpoint(std::string_view affinity,
                                                     std::string_view data_centre,
                                                     time_point now) const;

    /// Why no endpoint can be chosen.
    unavailability unavailability_reason() const;

    /// Whether an endpoint may get the request, now or when it is available.
    bool has_candidate(const choice_request& request, time_point now) const;

    /// Time until an endpoint may become available, at this entry or at another one.
    /// \param group among which limits are divided.
    milliseconds retry_after(time_point now, const entry_group& group = {}) const;

    /// Whether all endpoints in service are backed off, or have no room within this entry's share
    /// of their limits, until after a point in time.
    bool backed_off_until(time_point until, time_point now, const entry_group& group = {}) const;

    /// Records that a request was sent.
    /// \returns a ticket for `on_first_byte` and `on_request_ended`.
    std::uint64_t on_request_sent(const std::string& id, const cold_limit& cold,
                                  const entry_group& group, time_point now);
    void on_first_byte(const std::string& id, std::uint64_t ticket, time_point now);
    void on_request_ended(const std::string& id, std::uint64_t ticket, send_outcome outcome,
                          time_point now);
    /// Records that an endpoint accepts no requests for a time.
    /// \param incarnation of the endpoint that was asked; another one is not concerned.
    void on_retry_after(const std::string& id, std::uint64_t incarnation, milliseconds retry_after,
                        time_point now);
    void on_load_report(const std::string& id, reported_load load, time_point now);
    /// Records whether a response announced a limit.
    /// \param incarnation of the endpoint that was asked.
    void on_limit_report(const std::string& id, std::uint64_t incarnation,
                         const limit_report& report);

    /// What other entries are to know of limits.
    std::vector<shared_limit> limit_reports() const;

    /// Merges what another entry knows of limits, of this service and of others.
    void merge_limits(const std::vector<shared_limit>& reports);

    /// The limits in force, by endpoint.
    std::map<std::string, limit_description> limits(const entry_group& group, time_point now) const;

    /// Whether the endpoints report their slowness, so that their speed is estimated.
    bool estimates_capacity() const { return estimates_.slowness_reported(); }

    /// The estimates of all endpoints, by id.
    std::map<std::string, capacity::endpoint_estimate> estimates(time_point now) const;

    /// What other entries are to know of the endpoints' speed; empty if they do not report their
    /// slowness.
    std::vector<capacity::estimate_report> capacity_reports(time_point now) const;

    /// Merges what another entry knows of endpoints, of this service and of others.
    void merge_capacity(const std::vector<capacity::estimate_report>& reports, time_point now);

    /// Typical time to the first byte of an answer, over all endpoints; empty before the first one.
    std::optional<milliseconds> typical_latency() const;

    std::size_t size() const { return endpoints_.size(); }

    /// The service as last set.
    const catalog::service& service() const { return service_; }

    /// Whether an endpoint announces a limit.
    bool has_limit(const std::string& id) const;

    /// Shortest time between two requests of all entries to each endpoint with a limit, by id.
    std::map<std::string, milliseconds, std::less<>> send_intervals() const;

    /// Until when endpoints asked for no requests, by id. Others may be chosen.
    std::map<std::string, time_point, std::less<>> pauses(time_point now) const;

    /// All endpoints, for dumps.
    /// \param group among which limits are divided.
    std::vector<endpoint_description> describe(time_point now, const entry_group& group = {}) const;

private:
    struct open_request {
        time_point sent_at;
        bool first_byte_received{false};
    };
    struct tracked_endpoint {
        catalog::endpoint endpoint;
        bool evacuated{false};
        std::map<std::uint64_t, open_request> requests;
        std::optional<double> latency_ms; // time to the first byte, exponentially weighted
        time_point latency_at{};          // newest observation
        double failure_rate{0};           // exponentially weighted
        unsigned consecutive_failures{0};
        time_point backoff_until{}; // after failures
        time_point cold_until{};
        reported_load load;
        time_point load_reported_at{};
        process_terms terms;
        // No new requests before.
        time_point available_at() const { return std::max(backoff_until, terms.paused_until); }
    };
    tracked_endpoint& track(const catalog::endpoint& listed, time_point now);
    static std::optional<limit_description>
    describe_limit(const tracked_endpoint& candidate, const entry_group& group, time_point now);

    static std::string_view exclusion_reason(const tracked_endpoint& candidate, time_point now);
    static bool is_healthy(const tracked_endpoint& candidate, time_point now);
    bool is_eligible(const tracked_endpoint& candidate, const choice_request& request) const;
    template <class AvailableAt>
    std::optional<time_point> first_available(time_point now, AvailableAt available_at) const;
    struct ranked_endpoint {
        const tracked_endpoint* endpoint;
        double cost_ms;
    };
    double cost_ms(const tracked_endpoint& candidate, const choice_request& request,
                   time_point now) const;
    double service_cost_ms(const tracked_endpoint& candidate, time_point now) const;
    double estimated_cost_ms(const tracked_endpoint& candidate, time_point now) const;
    double expected_latency_ms(const tracked_endpoint& candidate, double speed,
                               time_point now) const;
    double queue_depth(const tracked_endpoint& candidate, time_point now) const;
    void back_off(tracked_endpoint& candidate, milliseconds base_delay, time_point now);
    void assume_restart(tracked_endpoint& candidate, time_point now);
    static std::vector<ranked_endpoint>
    filter_by_data_centre(const std::vector<ranked_endpoint>& ready, const choice_request& request);
    const tracked_endpoint* choose_by_affinity(const std::vector<ranked_endpoint>& ready,
                                               const choice_request& request, time_point now) const;

    std::map<std::string, tracked_endpoint> endpoints_;
    unlisted_processes unlisted_;
    catalog::service service_;
    capacity::endpoint_estimates estimates_;
    std::optional<double> typical_latency_ms_;
    std::uint64_t next_ticket_{1};
};

} // namespace boragefront::balancing
