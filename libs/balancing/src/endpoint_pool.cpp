#include "balancing/endpoint_pool.hpp"

#include "base/hash.hpp"
#include "catalog/registration.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragefront::balancing {
namespace {

using catalog::registration_status;

constexpr double latency_weight = 0.2; // weight of the newest observation
constexpr double failure_weight = 0.2;
constexpr milliseconds initial_backoff{250}; // a further failed connection attempt costs less
constexpr milliseconds max_backoff{4'000};
constexpr unsigned broken_until_backoff = 2; // single broken answers come from healthy endpoints
constexpr double remote_cost_ms = 1.5;       // round trip between nearby data centres
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
// When an endpoint's cold start ends, its next report may still be in transit.
constexpr milliseconds cold_report_delay{1'500};

chosen_endpoint to_chosen(const catalog::endpoint& endpoint) {
    return {endpoint.id, endpoint.address, endpoint.data_centre, endpoint.incarnation};
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

void endpoint_pool::set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                                  const std::set<std::string, std::less<>>& evacuated,
                                  const catalog::service& service, time_point now) {
    service_ = service;
    std::map<std::string, std::uint64_t> listed; // incarnations by id
    for (const auto& candidate : endpoints) {
        if (candidate.service != service.name) {
            continue;
        }
        listed[candidate.id] = candidate.incarnation;
        auto& kept = endpoints_[candidate.id];
        if (kept.endpoint.id.empty() || kept.endpoint.incarnation != candidate.incarnation ||
            kept.endpoint.address != candidate.address) {
            kept = tracked_endpoint{};
        }
        if (kept.endpoint.seen_at != candidate.seen_at) {
            kept.cold_until = candidate.seen_at + candidate.cold_remaining;
        }
        kept.endpoint = candidate;
        kept.evacuated = evacuated.contains(candidate.data_centre);
    }
    std::erase_if(endpoints_, [&](const auto& candidate) {
        return !listed.contains(candidate.first) ||
               (candidate.second.endpoint.removed_at &&
                catalog::status_of(candidate.second.endpoint, now) ==
                    registration_status::withdrawn &&
                candidate.second.requests.empty());
    });
    estimates_.retain(listed);
}

bool endpoint_pool::is_eligible(const tracked_endpoint& candidate,
                                const choice_request& request) const {
    return !candidate.evacuated &&
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
    // Of all callers, running and waiting. Those beyond what the endpoint takes well queue.
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
        const bool limited =
            now < candidate.cold_until && !candidate.cold.may_send(cold, group, id, now);
        if (!is_eligible(candidate, request) || now < candidate.backoff_until || limited) {
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
           now >= candidate.backoff_until && candidate.consecutive_failures == 0;
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

unavailability endpoint_pool::unavailability_reason() const {
    const bool any_in_service =
        std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& candidate) {
            return candidate.second.endpoint.state == catalog::endpoint_state::ready &&
                   !candidate.second.evacuated && !candidate.second.endpoint.removed_at;
        });
    return any_in_service ? unavailability::all_unavailable : unavailability::none_in_service;
}

// When the first endpoint in service is no longer backed off; empty if none is in service.
std::optional<time_point> endpoint_pool::first_backoff_end(time_point now) const {
    std::optional<time_point> first;
    for (const auto& [id, candidate] : endpoints_) {
        if (catalog::status_of(candidate.endpoint, now) != registration_status::withdrawn &&
            !candidate.evacuated) {
            first = std::min(first.value_or(candidate.backoff_until), candidate.backoff_until);
        }
    }
    return first;
}

milliseconds endpoint_pool::retry_after(time_point now) const {
    const auto first = first_backoff_end(now);
    return first
               ? std::chrono::ceil<milliseconds>(std::max<duration>(*first - now, initial_backoff))
               : max_backoff;
}

bool endpoint_pool::backed_off_until(time_point until, time_point now) const {
    const auto first = first_backoff_end(now);
    return first && *first > until;
}

std::uint64_t endpoint_pool::on_request_sent(const std::string& id, const cold_limit& cold,
                                             const entry_group& group, time_point now) {
    const auto ticket = next_ticket_++;
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
        auto& candidate = found->second;
        candidate.requests[ticket] = {now};
        if (now < candidate.cold_until) {
            candidate.cold.record_send(cold, group, now);
        }
    }
    return ticket;
}

void endpoint_pool::on_first_byte(const std::string& id, std::uint64_t ticket, time_point now) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    auto& candidate = found->second;
    const auto sent = candidate.requests.find(ticket);
    if (sent == candidate.requests.end() || sent->second.first_byte_received) {
        return;
    }
    sent->second.first_byte_received = true;
    const double took = milliseconds_of(now - sent->second.sent_at);
    const auto update_average = [](std::optional<double>& mean, double value, double weight) {
        mean = mean ? *mean + weight * (value - *mean) : value;
    };
    update_average(candidate.latency_ms, took, latency_weight);
    candidate.latency_at = now;
    update_average(typical_latency_ms_, took, latency_weight / 4);
    if (estimates_.slowness_reported()) {
        const auto depth = std::max(queue_depth(candidate, now), 1.0);
        estimates_.on_latency(id, candidate.endpoint.incarnation, now - sent->second.sent_at,
                              static_cast<unsigned>(depth), now);
    }
}

void endpoint_pool::back_off(tracked_endpoint& candidate, milliseconds base_delay, time_point now) {
    ++candidate.consecutive_failures;
    const auto doublings = std::min(candidate.consecutive_failures - 1, 4U);
    candidate.backoff_until = std::max(candidate.backoff_until,
                                       now + std::min(base_delay * (1U << doublings), max_backoff));
}

// An endpoint that is unreachable or resets connections may be restarting, and is then cold before
// its registration reports so.
void endpoint_pool::assume_restart(tracked_endpoint& candidate, time_point now) {
    if (service_.cold_requests_per_second > 0) {
        candidate.cold_until =
            std::max(candidate.cold_until, now + service_.cold_start + cold_report_delay);
    }
}

void endpoint_pool::on_request_ended(const std::string& id, std::uint64_t ticket,
                                     send_outcome outcome, time_point now) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    auto& candidate = found->second;
    candidate.requests.erase(ticket);
    const auto update_failure_rate = [&](double value) {
        candidate.failure_rate += failure_weight * (value - candidate.failure_rate);
    };
    switch (outcome) {
    case send_outcome::answered:
        candidate.consecutive_failures = 0;
        update_failure_rate(0);
        break;
    case send_outcome::failed:
        update_failure_rate(1);
        break;
    case send_outcome::refused:
        update_failure_rate(1);
        candidate.backoff_until = std::max(candidate.backoff_until, now + initial_backoff / 8);
        if (estimates_.slowness_reported()) {
            estimates_.on_refused(id, candidate.endpoint.incarnation, now);
        }
        break;
    case send_outcome::replaced:
        back_off(candidate, max_backoff, now);
        break;
    case send_outcome::broken:
        update_failure_rate(1);
        if (++candidate.consecutive_failures >= broken_until_backoff) {
            --candidate.consecutive_failures;
            back_off(candidate, initial_backoff, now);
        }
        break;
    case send_outcome::timed_out:
        update_failure_rate(1);
        back_off(candidate, initial_backoff, now);
        break;
    case send_outcome::unreachable:
        update_failure_rate(1);
        back_off(candidate, initial_backoff, now);
        assume_restart(candidate, now);
        break;
    case send_outcome::cancelled:
        break;
    }
}

void endpoint_pool::on_retry_after(const std::string& id, milliseconds retry_after,
                                   time_point now) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
        found->second.backoff_until = std::max(found->second.backoff_until, now + retry_after);
    }
}

void endpoint_pool::on_load_report(const std::string& id, reported_load load, time_point now) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
        found->second.load = load;
        found->second.load_reported_at = now;
        if (load.slowness_percent || estimates_.slowness_reported()) {
            estimates_.on_load(id, found->second.endpoint.incarnation, load, now);
        }
    }
}

std::map<std::string, capacity::endpoint_estimate> endpoint_pool::estimates(time_point now) const {
    std::map<std::string, capacity::endpoint_estimate> all;
    for (const auto& [id, candidate] : endpoints_) {
        all.emplace(id, estimates_.estimate(id, now));
    }
    return all;
}

std::vector<capacity::estimate_report> endpoint_pool::capacity_reports(time_point now) const {
    return estimates_.slowness_reported() ? estimates_.report(now)
                                          : std::vector<capacity::estimate_report>{};
}

void endpoint_pool::merge_capacity(const std::vector<capacity::estimate_report>& reports,
                                   time_point now) {
    estimates_.merge(reports, now);
}

std::optional<milliseconds> endpoint_pool::typical_latency() const {
    if (!typical_latency_ms_) {
        return std::nullopt;
    }
    return milliseconds{static_cast<std::int64_t>(std::ceil(*typical_latency_ms_))};
}

std::string_view endpoint_pool::exclusion_reason(const tracked_endpoint& candidate,
                                                 time_point now) {
    if (candidate.endpoint.state != catalog::endpoint_state::ready) {
        return "draining";
    }
    if (candidate.evacuated) {
        return "evacuated";
    }
    if (candidate.endpoint.removed_at) {
        return "missing";
    }
    if (now < candidate.backoff_until) {
        return "failed_lately";
    }
    return now < candidate.cold_until ? "cold" : "none";
}

std::vector<endpoint_description> endpoint_pool::describe(time_point now) const {
    std::vector<endpoint_description> all;
    all.reserve(endpoints_.size());
    for (const auto& [id, candidate] : endpoints_) {
        all.push_back({candidate.endpoint, std::string{exclusion_reason(candidate, now)},
                       candidate.requests.size(), candidate.load,
                       candidate.load_reported_at == time_point{}
                           ? std::nullopt
                           : std::optional{std::chrono::floor<milliseconds>(
                                 now - candidate.load_reported_at)},
                       milliseconds{static_cast<std::int64_t>(candidate.latency_ms.value_or(0))},
                       candidate.failure_rate,
                       estimates_.slowness_reported() ? std::optional{estimates_.estimate(id, now)}
                                                      : std::nullopt});
    }
    return all;
}

} // namespace boragefront::balancing
