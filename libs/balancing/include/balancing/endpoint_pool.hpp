/// \file
/// The endpoints of one service as this entry sees them, and the choice among them.
#pragma once

#include "balancing/cold_limiter.hpp"
#include "balancing/entry_group.hpp"
#include "base/random.hpp"
#include "base/time.hpp"
#include "catalog/types.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::balancing {

/// How a request at an endpoint ended.
enum class send_outcome : std::uint8_t {
    answered,    ///< a whole answer that is not a failure of the endpoint
    failed,      ///< a whole answer that says that the endpoint failed
    refused,     ///< the endpoint did not run it
    replaced,    ///< another endpoint has the address
    broken,      ///< a reset, a cut or a malformed answer
    timed_out,   ///< no answer in time
    unreachable, ///< no connection
    cancelled,   ///< ended by this process; says nothing of the endpoint
};

/// Load that an endpoint tells of itself.
struct reported_load {
    unsigned running{0};
    unsigned waiting{0};
    unsigned slots{0};
};

/// What a choice must heed.
struct choice_request {
    std::string_view affinity{};                 ///< requests with the same value share a prompt
    std::string_view near_data_centre{};         ///< preferred between equals
    std::string_view affinity_data_centre{};      ///< preferred unless its endpoints are overloaded
    const std::set<std::string>* tried{nullptr}; ///< endpoints not to choose again
    const std::set<std::string>* allowed_data_centres{nullptr}; ///< data centres allowed; null: all
    /// Data centres not to choose from while another has an endpoint; null: none.
    const std::set<std::string, std::less<>>* avoided_data_centres{nullptr};
    /// How long the request may wait for the endpoint that shares its prompt.
    milliseconds affinity_max_wait{0};
    /// Time lost by a failure, to weigh endpoints that fail often.
    milliseconds failure_cost{500};
};

/// A chosen endpoint.
struct chosen_endpoint {
    std::string id;
    std::string address;
    std::string data_centre;
};

/// What a pool knows of one endpoint.
struct endpoint_description {
    catalog::endpoint endpoint;
    std::string not_chosen_because; ///< "none" if it may be chosen
    std::size_t open_requests{0};   ///< of this entry
    reported_load load;
    std::optional<milliseconds> load_age; ///< nothing: it has not told of its load
    milliseconds latency{0};              ///< typical time to its first byte; 0: not known
    double failure_rate{0};
};

/// Why there was no choice.
enum class unavailability : std::uint8_t {
    none_in_service, ///< the service has no endpoint in service
    all_unavailable,   ///< all are cold and at their limit, or failed a moment ago
};

/// One pool. Holds no connections and reads no clock.
class endpoint_pool {
public:
    /// Replaces the endpoints; what is known of those that stay is kept.
    void set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                       const std::set<std::string, std::less<>>& evacuated,
                       const catalog::service& service, time_point now);

    /// Chooses an endpoint for a request.
    std::optional<chosen_endpoint> choose(const choice_request& request, const cold_limit& cold,
                                          const entry_group& group, time_point now,
                                          random_source& random);

    /// The endpoint with this id, if it is in service and was not given up lately.
    std::optional<chosen_endpoint> find_healthy(const std::string& id, time_point now) const;

    /// The endpoint that requests with this shared prompt meet at when nothing stands in the way.
    std::optional<chosen_endpoint> affinity_endpoint(std::string_view affinity, std::string_view data_centre,
                                           time_point now) const;

    /// Why the last `choose` found none, and when one may be found again.
    unavailability unavailability_reason() const;
    milliseconds retry_after(time_point now) const;

    /// Notes that a request was sent. \returns a ticket for `first_byte` and `ended`.
    std::uint64_t on_request_sent(const std::string& id, const cold_limit& cold, const entry_group& group,
                          time_point now);
    void on_first_byte(const std::string& id, std::uint64_t ticket, time_point now);
    void on_request_ended(const std::string& id, std::uint64_t ticket, send_outcome outcome, time_point now);
    void on_load_report(const std::string& id, reported_load load, time_point now);

    /// Typical time to an answer's first byte, over all endpoints; nothing before the first.
    std::optional<milliseconds> typical_latency() const;

    std::size_t size() const { return endpoints_.size(); }

    /// All endpoints, for dumps.
    std::vector<endpoint_description> describe(time_point now) const;

private:
    struct outstanding {
        time_point since;
        bool began{false};
    };
    struct state {
        catalog::endpoint endpoint;
        bool evacuated{false};
        std::map<std::uint64_t, outstanding> requests;
        std::optional<double> latency_ms; // exponentially weighted, to the first byte
        double failure_rate{0};           // exponentially weighted
        unsigned failures_in_row{0};
        time_point held_until{}; // no new work before
        time_point cold_until{};
        cold_limiter cold;
        reported_load load;
        time_point load_at{};
    };

    static std::string_view why_not(const state& one, time_point now);
    static bool is_sound(const state& one, time_point now);
    bool usable(const state& one, const choice_request& request) const;
    double cost_ms(const state& one, const choice_request& request, time_point now) const;
    double queueing(const state& one, time_point now) const;
    void hold(state& one, milliseconds least, time_point now);
    void suspect_restart(state& one, time_point now);
    std::vector<const state*> kept_in(const std::vector<const state*>& ready,
                                      const choice_request& request, time_point now) const;
    const state* by_affinity(const std::vector<const state*>& ready, const choice_request& request,
                             time_point now) const;

    std::map<std::string, state> endpoints_;
    catalog::service service_;
    std::optional<double> typical_ms_;
    std::uint64_t next_ticket_{1};
};

} // namespace boragefront::balancing
