#include "balancing/endpoint_pool.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragefront::balancing {
namespace {

// An entry that is missing from the platform's list without having announced that it leaves may
// have lapsed while the platform was away; such an endpoint serves on for a moment, but is chosen
// only when no listed one is left. Well below the two seconds after which it must get no more work.
constexpr milliseconds missing_grace{1'200};
constexpr double latency_weight = 0.2; // of the newest observation
constexpr double failure_weight = 0.2;
constexpr milliseconds first_hold{250}; // one failed connection attempt more costs less than this
constexpr milliseconds longest_hold{4'000};
constexpr unsigned broken_in_row_for_hold = 2; // single broken answers come from sound endpoints
constexpr double remote_cost_ms = 1.5;         // a round trip between near data centres
constexpr double unknown_latency_ms = 50;
constexpr double silence_factor = 4; // times the typical latency until silence counts against one
constexpr milliseconds least_silence{150};
constexpr milliseconds load_report_lifetime{400}; // reports are some hundred milliseconds old
constexpr double affinity_load_factor = 1.5; // bounded load: above this share of the mean, spill
constexpr double affinity_load_slack = 4;    // requests
constexpr double affinity_cost_factor = 2.5; // a preferred endpoint this much slower is passed over
constexpr double unread_weight = 0.5;        // of a prompt before it, as about half are small
constexpr double choice_jitter = 0.1;        // so that entries do not all choose the same endpoint
// After its cold time an endpoint's next report may still be on its way.
constexpr milliseconds cold_report_delay{1'500};

double milliseconds_of(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

void endpoint_pool::set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                                  const std::set<std::string, std::less<>>& evacuated,
                                  const catalog::service& service, time_point now) {
    service_ = service;
    std::set<std::string> listed;
    for (const auto& one : endpoints) {
        if (one.service != service.name) {
            continue;
        }
        listed.insert(one.id);
        auto& kept = endpoints_[one.id];
        if (kept.endpoint.id.empty() || kept.endpoint.incarnation != one.incarnation ||
            kept.endpoint.address != one.address) {
            kept = state{};
        }
        if (kept.endpoint.seen_at != one.seen_at) {
            kept.cold_until = one.seen_at + one.cold_remaining;
        }
        kept.endpoint = one;
        kept.evacuated = evacuated.contains(one.data_centre);
    }
    std::erase_if(endpoints_, [&](const auto& one) {
        return !listed.contains(one.first) ||
               (one.second.endpoint.removed_at && now - *one.second.endpoint.removed_at > missing_grace &&
                one.second.requests.empty());
    });
}

bool endpoint_pool::usable(const state& one, const choice_request& request) const {
    return one.endpoint.state == catalog::endpoint_state::ready && !one.evacuated &&
           (request.tried == nullptr || !request.tried->contains(one.endpoint.id)) &&
           (request.allowed_data_centres == nullptr || request.allowed_data_centres->contains(one.endpoint.data_centre));
}

double endpoint_pool::queueing(const state& one, time_point now) const {
    const auto own = static_cast<double>(one.requests.size());
    if (now - one.load_at > load_report_lifetime) {
        return own;
    }
    return std::max(own, static_cast<double>(one.load.running + one.load.waiting));
}

double endpoint_pool::cost_ms(const state& one, const choice_request& request,
                              time_point now) const {
    const double typical = typical_ms_.value_or(unknown_latency_ms);
    const double latency = one.latency_ms.value_or(typical);
    const double slots = std::max(1.0, static_cast<double>(one.endpoint.slots));
    double cost = latency * (1 + queueing(one, now) / slots);
    if (service_.engine) {
        // Prompts are read one after another; requests that have begun hardly delay the next.
        const auto unread = std::count_if(one.requests.begin(), one.requests.end(),
                                          [](const auto& sent) { return !sent.second.began; });
        cost = latency * (1 + unread_weight * static_cast<double>(unread));
    }
    cost += one.failure_rate * milliseconds_of(request.failure_cost);
    const double patience = std::max(silence_factor * typical, milliseconds_of(least_silence));
    for (const auto& [ticket, sent] : one.requests) {
        if (!sent.began && milliseconds_of(now - sent.since) > patience) {
            cost += milliseconds_of(now - sent.since);
            break;
        }
    }
    if (!request.near_data_centre.empty() && one.endpoint.data_centre != request.near_data_centre) {
        cost += remote_cost_ms;
    }
    return cost;
}

// The endpoints of the data centre to stay in, or all if these are much slower than others.
std::vector<const endpoint_pool::state*>
endpoint_pool::kept_in(const std::vector<const state*>& ready, const choice_request& request,
                       time_point now) const {
    std::vector<const state*> kept;
    double cheapest = std::numeric_limits<double>::max();
    double cheapest_kept = cheapest;
    for (const auto* one : ready) {
        const double cost = cost_ms(*one, request, now);
        cheapest = std::min(cheapest, cost);
        if (one->endpoint.data_centre == request.affinity_data_centre) {
            cheapest_kept = std::min(cheapest_kept, cost);
            kept.push_back(one);
        }
    }
    return kept.empty() || cheapest_kept > cheapest * affinity_cost_factor ? ready : kept;
}

const endpoint_pool::state* endpoint_pool::by_affinity(const std::vector<const state*>& ready,
                                                       const choice_request& request,
                                                       time_point now) const {
    double total = 0;
    double cheapest = std::numeric_limits<double>::max();
    for (const auto* one : ready) {
        total += queueing(*one, now);
        cheapest = std::min(cheapest, cost_ms(*one, request, now));
    }
    const double mean = total / static_cast<double>(ready.size());
    const double bound = mean * affinity_load_factor + affinity_load_slack;
    const state* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto* one : ready) {
        const auto score = rendezvous_score(request.affinity, one->endpoint.id);
        const double cost = cost_ms(*one, request, now);
        const bool fits = cost <= milliseconds_of(request.affinity_max_wait) ||
                          (queueing(*one, now) <= bound && cost <= cheapest * affinity_cost_factor);
        if (fits && (best == nullptr || score > best_score)) {
            best = one;
            best_score = score;
        }
    }
    return best;
}

std::optional<chosen_endpoint> endpoint_pool::choose(const choice_request& request,
                                                     const cold_limit& cold,
                                                     const entry_group& group, time_point now,
                                                     random_source& random) {
    std::vector<const state*> listed;
    std::vector<const state*> missing;
    std::vector<const state*> avoided;
    for (const auto& [id, one] : endpoints_) {
        const bool limited = now < one.cold_until && !one.cold.may_send(cold, group, id, now);
        if (!usable(one, request) || now < one.held_until || limited) {
            continue;
        }
        const bool avoids =
            request.avoided_data_centres != nullptr && request.avoided_data_centres->contains(one.endpoint.data_centre);
        if (!one.endpoint.removed_at) {
            (avoids ? avoided : listed).push_back(&one);
        } else if (!avoids && now - *one.endpoint.removed_at < missing_grace) {
            missing.push_back(&one);
        }
    }
    const auto& reachable = listed.empty() ? missing : listed;
    const auto& all = reachable.empty() ? avoided : reachable;
    if (all.empty()) {
        return std::nullopt;
    }
    const auto ready = kept_in(all, request, now);
    const state* best = request.affinity.empty() ? nullptr : by_affinity(ready, request, now);
    if (best == nullptr) {
        std::uniform_real_distribution<double> jitter{1 - choice_jitter, 1 + choice_jitter};
        double least = std::numeric_limits<double>::max();
        for (const auto* one : ready) {
            const double cost = cost_ms(*one, request, now) * jitter(random);
            if (cost < least) {
                least = cost;
                best = one;
            }
        }
    }
    return chosen_endpoint{best->endpoint.id, best->endpoint.address, best->endpoint.data_centre};
}

bool endpoint_pool::is_sound(const state& one, time_point now) {
    return one.endpoint.state == catalog::endpoint_state::ready && !one.endpoint.removed_at &&
           now >= one.held_until && one.failures_in_row == 0;
}

std::optional<chosen_endpoint> endpoint_pool::find_healthy(const std::string& id, time_point now) const {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || !is_sound(found->second, now)) {
        return std::nullopt;
    }
    const auto& self = found->second.endpoint;
    return chosen_endpoint{self.id, self.address, self.data_centre};
}

std::optional<chosen_endpoint> endpoint_pool::affinity_endpoint(std::string_view affinity,
                                                      std::string_view data_centre,
                                                      time_point now) const {
    const state* home = nullptr;
    std::uint64_t best = 0;
    for (const auto& [id, one] : endpoints_) {
        const bool here = data_centre.empty() || one.endpoint.data_centre == data_centre;
        const auto score = here && is_sound(one, now) ? rendezvous_score(affinity, id) : 0;
        if (score > best) {
            best = score;
            home = &one;
        }
    }
    if (home == nullptr) {
        return std::nullopt;
    }
    return chosen_endpoint{home->endpoint.id, home->endpoint.address, home->endpoint.data_centre};
}

unavailability endpoint_pool::unavailability_reason() const {
    const bool any = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& one) {
        return one.second.endpoint.state == catalog::endpoint_state::ready && !one.second.evacuated &&
               !one.second.endpoint.removed_at;
    });
    return any ? unavailability::all_unavailable : unavailability::none_in_service;
}

milliseconds endpoint_pool::retry_after(time_point now) const {
    auto earliest = now + longest_hold;
    for (const auto& [id, one] : endpoints_) {
        if (one.endpoint.state == catalog::endpoint_state::ready && !one.evacuated) {
            earliest = std::min(earliest, std::max(one.held_until, now + first_hold));
        }
    }
    return std::chrono::ceil<milliseconds>(earliest - now);
}

std::uint64_t endpoint_pool::on_request_sent(const std::string& id, const cold_limit& cold,
                                     const entry_group& group, time_point now) {
    const auto ticket = next_ticket_++;
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
        auto& one = found->second;
        one.requests[ticket] = {now};
        if (now < one.cold_until) {
            one.cold.count(cold, group, now);
        }
    }
    return ticket;
}

void endpoint_pool::on_first_byte(const std::string& id, std::uint64_t ticket, time_point now) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    auto& one = found->second;
    const auto sent = one.requests.find(ticket);
    if (sent == one.requests.end() || sent->second.began) {
        return;
    }
    sent->second.began = true;
    const double took = milliseconds_of(now - sent->second.since);
    const auto blend = [](std::optional<double>& mean, double value, double weight) {
        mean = mean ? *mean + weight * (value - *mean) : value;
    };
    blend(one.latency_ms, took, latency_weight);
    blend(typical_ms_, took, latency_weight / 4);
}

void endpoint_pool::hold(state& one, milliseconds least, time_point now) {
    ++one.failures_in_row;
    const auto doublings = std::min(one.failures_in_row - 1, 4U);
    one.held_until = now + std::min(least * (1U << doublings), longest_hold);
}

// An endpoint that cannot be reached or resets connections may be starting again, and then be
// cold before its entry says so.
void endpoint_pool::suspect_restart(state& one, time_point now) {
    if (service_.cold_requests_per_second > 0) {
        one.cold_until = std::max(one.cold_until, now + service_.cold_start + cold_report_delay);
    }
}

void endpoint_pool::on_request_ended(const std::string& id, std::uint64_t ticket, send_outcome outcome,
                          time_point now) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end()) {
        return;
    }
    auto& one = found->second;
    one.requests.erase(ticket);
    const auto blend_failure = [&](double value) {
        one.failure_rate += failure_weight * (value - one.failure_rate);
    };
    switch (outcome) {
    case send_outcome::answered:
        one.failures_in_row = 0;
        blend_failure(0);
        break;
    case send_outcome::failed:
        blend_failure(1);
        break;
    case send_outcome::refused:
        blend_failure(1);
        one.held_until = std::max(one.held_until, now + first_hold / 8);
        break;
    case send_outcome::replaced:
        hold(one, longest_hold, now);
        break;
    case send_outcome::broken:
        blend_failure(1);
        if (++one.failures_in_row >= broken_in_row_for_hold) {
            --one.failures_in_row;
            hold(one, first_hold, now);
        }
        break;
    case send_outcome::timed_out:
        blend_failure(1);
        hold(one, first_hold, now);
        break;
    case send_outcome::unreachable:
        blend_failure(1);
        hold(one, first_hold, now);
        suspect_restart(one, now);
        break;
    case send_outcome::cancelled:
        break;
    }
}

void endpoint_pool::on_load_report(const std::string& id, reported_load load, time_point now) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end()) {
        found->second.load = load;
        found->second.load_at = now;
    }
}

std::optional<milliseconds> endpoint_pool::typical_latency() const {
    if (!typical_ms_) {
        return std::nullopt;
    }
    return milliseconds{static_cast<std::int64_t>(std::ceil(*typical_ms_))};
}

std::string_view endpoint_pool::why_not(const state& one, time_point now) {
    if (one.endpoint.state != catalog::endpoint_state::ready) {
        return "draining";
    }
    if (one.evacuated) {
        return "evacuated";
    }
    if (one.endpoint.removed_at) {
        return "missing";
    }
    if (now < one.held_until) {
        return "failed_lately";
    }
    return now < one.cold_until ? "cold" : "none";
}

std::vector<endpoint_description> endpoint_pool::describe(time_point now) const {
    std::vector<endpoint_description> all;
    all.reserve(endpoints_.size());
    for (const auto& [id, one] : endpoints_) {
        all.push_back({one.endpoint, std::string{why_not(one, now)}, one.requests.size(), one.load,
                       one.load_at == time_point{}
                           ? std::nullopt
                           : std::optional{std::chrono::floor<milliseconds>(now - one.load_at)},
                       milliseconds{static_cast<std::int64_t>(one.latency_ms.value_or(0))},
                       one.failure_rate});
    }
    return all;
}

} // namespace boragefront::balancing
