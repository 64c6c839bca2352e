// Choice of an endpoint: its expected cost for a request, and the ranking for a shared prompt.
#include "balancing/endpoint_pool.hpp"
#include "base/hash.hpp"
#include "catalog/registration.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragefront::balancing {
namespace {

using catalog::registration_status;

constexpr double remote_cost_ms = 1.5; // round trip between nearby data centres
constexpr double unknown_latency_ms = 50;
constexpr double stall_factor = 4; // multiple of the typical latency
constexpr milliseconds min_stall_threshold{150};
constexpr milliseconds load_report_lifetime{400}; // reports are a few hundred milliseconds old
// Bounded load: a preferred endpoint above this multiple of the mean load plus the slack, or slower
// than the fastest one by the cost factor, is skipped.
constexpr double affinity_load_factor = 1.5;
constexpr double affinity_load_slack = 4; // requests
constexpr double affinity_cost_factor = 2.5;
constexpr double prefill_queue_weight = 0.5; // per queued prompt, as about half of them are small
// The recent latency contains the usual queue already.
constexpr double reported_load_weight = 0.5;
// An endpoint that was slow is chosen again some time after its last response. With 1 s, entries
// that send few requests to each endpoint forget what they know too soon.
constexpr milliseconds recent_latency{6'000};
constexpr milliseconds latency_decay_time{6'000}; // time constant, after that
// Well above the time on an idle link, as links are shared.
constexpr double transfer_ms_per_byte = 10e-6;
constexpr double choice_jitter = 0.1; // keeps entries from all choosing the same endpoint

chosen_endpoint to_chosen(const catalog::endpoint& endpoint) {
    return {endpoint.id, endpoint.address, endpoint.data_centre, endpoint.incarnation,
            continuation::make_version_key(endpoint.version)};
}

double milliseconds_of(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

double slot_count(const catalog::endpoint& endpoint) {
    return std::max(1.0, static_cast<double>(endpoint.slots));
}

// Number of requests without a first byte.
template <typename Requests>
double prefilling(const Requests& requests) {
    return static_cast<double>(
        std::count_if(requests.begin(), requests.end(),
                      [](const auto& sent) { return !sent.second.first_byte_received; }));
}

} // namespace

bool endpoint_pool::is_eligible(const tracked_endpoint& candidate,
                                const choice_request& request) const {
    return !candidate.evacuated &&
           (!request.version ||
            continuation::is_same_version(
                continuation::make_version_key(candidate.endpoint.version), *request.version)) &&
           (request.tried == nullptr || !request.tried->contains(candidate.endpoint.id)) &&
           (request.allowed_data_centres == nullptr ||
            request.allowed_data_centres->contains(candidate.endpoint.data_centre));
}

double endpoint_pool::queue_depth(const tracked_endpoint& candidate, time_point now) const {
    const auto own_requests = static_cast<double>(candidate.requests.size());
    if (now - candidate.load_reported_at > load_report_lifetime) {
        return own_requests;
    }
    return std::max(own_requests,
                    static_cast<double>(candidate.load.running + candidate.load.waiting));
}

// Expected time at an endpoint of a service without estimates.
double endpoint_pool::service_cost_ms(const tracked_endpoint& candidate, time_point now) const {
    const double latency =
        candidate.latency_ms.value_or(typical_latency_ms_.value_or(unknown_latency_ms));
    if (service_.engine) {
        // Prompts are processed one after another. Requests that already generate tokens hardly
        // delay the next one.
        return latency * (1 + prefill_queue_weight * prefilling(candidate.requests));
    }
    return latency * (1 + queue_depth(candidate, now) / slot_count(candidate.endpoint));
}

// The recent latency at an endpoint, which contains its usual load. It returns to the typical one
// without observations, and is then what other entries observe.
double endpoint_pool::expected_latency_ms(const tracked_endpoint& candidate, double speed,
                                          time_point now) const {
    const double typical = typical_latency_ms_.value_or(unknown_latency_ms);
    const double unobserved = typical / speed;
    if (!candidate.latency_ms) {
        return unobserved;
    }
    const auto age = now - candidate.latency_at;
    const double idle_ms = std::max(milliseconds_of(age - recent_latency), 0.0);
    return unobserved + (*candidate.latency_ms - unobserved) *
                            std::exp(-idle_ms / milliseconds_of(latency_decay_time));
}

// Expected time at an endpoint of a service whose endpoints report their slowness.
double endpoint_pool::estimated_cost_ms(const tracked_endpoint& candidate, time_point now) const {
    const auto known = estimates_.estimate(candidate.endpoint.id, now);
    const double latency = expected_latency_ms(candidate, known.speed, now);
    double queueing = prefill_queue_weight * prefilling(candidate.requests);
    // Requests of all callers, running and waiting. Those beyond the concurrency limit queue.
    const double slots = slot_count(candidate.endpoint);
    const double limit = known.concurrency > 0 ? std::min<double>(known.concurrency, slots) : slots;
    queueing += reported_load_weight * known.expected_load / limit;
    return latency * known.speed / known.speed_now * (1 + queueing);
}

double endpoint_pool::cost_ms(const tracked_endpoint& candidate, const choice_request& request,
                              time_point now) const {
    const double typical = typical_latency_ms_.value_or(unknown_latency_ms);
    double cost = estimates_.slowness_reported() ? estimated_cost_ms(candidate, now)
                                                 : service_cost_ms(candidate, now);
    cost += candidate.failure_rate * milliseconds_of(request.failure_cost);
    // A request without a first byte for this long counts as stalled.
    const double stall_threshold =
        std::max(stall_factor * typical, milliseconds_of(min_stall_threshold));
    for (const auto& [ticket, sent] : candidate.requests) {
        if (!sent.first_byte_received && milliseconds_of(now - sent.sent_at) > stall_threshold) {
            cost += milliseconds_of(now - sent.sent_at);
            break;
        }
    }
    if (!request.near_data_centre.empty() &&
        candidate.endpoint.data_centre != request.near_data_centre) {
        cost += remote_cost_ms;
    }
    if (!request.inputs_data_centre.empty() &&
        candidate.endpoint.data_centre != request.inputs_data_centre) {
        cost += static_cast<double>(request.input_bytes) * transfer_ms_per_byte;
    }
    return cost;
}

// The endpoints of the preferred data centre, or all if those are much slower than others.
std::vector<endpoint_pool::ranked_endpoint>
endpoint_pool::filter_by_data_centre(const std::vector<ranked_endpoint>& ready,
                                     const choice_request& request) {
    std::vector<ranked_endpoint> kept;
    double min_cost = std::numeric_limits<double>::max();
    double min_kept_cost = min_cost;
    for (const auto& candidate : ready) {
        min_cost = std::min(min_cost, candidate.cost_ms);
        if (candidate.endpoint->endpoint.data_centre == request.affinity_data_centre) {
            min_kept_cost = std::min(min_kept_cost, candidate.cost_ms);
            kept.push_back(candidate);
        }
    }
    return kept.empty() || min_kept_cost > min_cost * affinity_cost_factor ? ready : kept;
}

// Ranks the endpoints for a prompt, in the same order at all entries, and returns the first one
// that is not overloaded.
const endpoint_pool::tracked_endpoint*
endpoint_pool::choose_by_affinity(const std::vector<ranked_endpoint>& ready,
                                  const choice_request& request, time_point now) const {
    double total = 0;
    double min_cost = std::numeric_limits<double>::max();
    for (const auto& candidate : ready) {
        total += queue_depth(*candidate.endpoint, now);
        min_cost = std::min(min_cost, candidate.cost_ms);
    }
    const double mean = total / static_cast<double>(ready.size());
    const double bound = mean * affinity_load_factor + affinity_load_slack;
    const tracked_endpoint* best = nullptr;
    using affinity_rank = std::pair<bool, std::uint64_t>;
    affinity_rank best_rank;
    for (const auto& [candidate, cost] : ready) {
        const affinity_rank rank{candidate->endpoint.data_centre == request.affinity_data_centre,
                                 rendezvous_score(request.affinity, candidate->endpoint.id)};
        const bool within_bounds =
            cost <= milliseconds_of(request.affinity_max_wait) ||
            (queue_depth(*candidate, now) <= bound && cost <= min_cost * affinity_cost_factor);
        if (within_bounds && (best == nullptr || rank > best_rank)) {
            best = candidate;
            best_rank = rank;
        }
    }
    return best;
}

std::optional<chosen_endpoint> endpoint_pool::choose(const choice_request& request,
                                                     const cold_limit& cold,
                                                     const entry_group& group, time_point now,
                                                     random_source& random) {
    std::vector<const tracked_endpoint*> listed;
    std::vector<const tracked_endpoint*> missing; // used only if there is no listed one
    std::vector<const tracked_endpoint*> avoided;
    for (const auto& [id, candidate] : endpoints_) {
        const auto next_send = candidate.terms.limit.next_send(group, id, now);
        const bool limited =
            (now < candidate.cold_until && !candidate.terms.cold.may_send(cold, group, id, now)) ||
            (next_send && *next_send > now);
        if (!is_eligible(candidate, request) || now < candidate.available_at() || limited) {
            continue;
        }
        const bool is_avoided =
            request.avoided_data_centres != nullptr &&
            request.avoided_data_centres->contains(candidate.endpoint.data_centre);
        const auto status = catalog::status_of(candidate.endpoint, now);
        if (status == registration_status::ready) {
            (is_avoided ? avoided : listed).push_back(&candidate);
        } else if (status == registration_status::missing && !is_avoided) {
            missing.push_back(&candidate);
        }
    }
    const auto& reachable = listed.empty() ? missing : listed;
    const auto& eligible = reachable.empty() ? avoided : reachable;
    if (eligible.empty()) {
        return std::nullopt;
    }
    std::vector<ranked_endpoint> all;
    all.reserve(eligible.size());
    for (const auto* candidate : eligible) {
        all.push_back({candidate, cost_ms(*candidate, request, now)});
    }
    const tracked_endpoint* best =
        request.affinity.empty() ? nullptr : choose_by_affinity(all, request, now);
    if (best == nullptr) {
        std::uniform_real_distribution<double> jitter{1 - choice_jitter, 1 + choice_jitter};
        double min_cost = std::numeric_limits<double>::max();
        for (const auto& candidate : filter_by_data_centre(all, request)) {
            const double cost = candidate.cost_ms * jitter(random);
            if (cost < min_cost) {
                min_cost = cost;
                best = candidate.endpoint;
            }
        }
    }
    return to_chosen(best->endpoint);
}

bool endpoint_pool::is_healthy(const tracked_endpoint& candidate, time_point now) {
    return catalog::status_of(candidate.endpoint, now) == registration_status::ready &&
           now >= candidate.available_at() && candidate.consecutive_failures == 0;
}

std::optional<chosen_endpoint> endpoint_pool::find_healthy(const std::string& id,
                                                           time_point now) const {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !is_healthy(found->second, now)) {
        return std::nullopt;
    }
    return to_chosen(found->second.endpoint);
}

std::optional<chosen_endpoint> endpoint_pool::affinity_endpoint(std::string_view affinity,
                                                                std::string_view data_centre,
                                                                time_point now) const {
    const tracked_endpoint* preferred = nullptr;
    std::uint64_t best = 0;
    for (const auto& [id, candidate] : endpoints_) {
        const bool in_data_centre =
            data_centre.empty() || candidate.endpoint.data_centre == data_centre;
        const auto score =
            in_data_centre && is_healthy(candidate, now) ? rendezvous_score(affinity, id) : 0;
        if (score > best) {
            best = score;
            preferred = &candidate;
        }
    }
    if (preferred == nullptr) {
        return std::nullopt;
    }
    return to_chosen(preferred->endpoint);
}

} // namespace boragefront::balancing
