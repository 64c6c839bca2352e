#include "balancing/endpoint_pool.hpp"

#include "base/hash.hpp"
#include "catalog/registration.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::balancing {
namespace {

using catalog::registration_status;

constexpr double latency_weight = 0.2; // weight of the newest observation
constexpr double failure_weight = 0.2;
constexpr milliseconds initial_backoff{250}; // a further failed connection attempt costs less
constexpr milliseconds max_backoff{4'000};
constexpr unsigned broken_until_backoff = 2; // single broken answers come from healthy endpoints
// When an endpoint's cold start ends, its next report may still be in transit.
constexpr milliseconds cold_report_delay{1'500};

} // namespace

// The state of a listed endpoint. Another process starts without what was observed; what a process
// asked for holds at another address too.
endpoint_pool::tracked_endpoint& endpoint_pool::track(const catalog::endpoint& listed,
                                                      time_point now) {
    auto& kept = endpoints_[listed.id];
    const bool same_process =
        kept.endpoint.id == listed.id && kept.endpoint.incarnation == listed.incarnation;
    if (same_process && kept.endpoint.address == listed.address) {
        return kept;
    }
    unlisted_.keep(kept.endpoint.id, kept.endpoint.incarnation, kept.terms, now);
    const auto cold = same_process && listed.incarnation != 0 ? kept.terms.cold : cold_limiter{};
    kept = tracked_endpoint{};
    kept.terms = unlisted_.take(listed.id, listed.incarnation);
    kept.terms.cold = cold;
    return kept;
}

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
        auto& kept = track(candidate, now);
        if (kept.endpoint.seen_at != candidate.seen_at) {
            kept.cold_until = candidate.seen_at + candidate.cold_remaining;
        }
        kept.endpoint = candidate;
        kept.evacuated = evacuated.contains(candidate.data_centre);
    }
    std::erase_if(endpoints_, [&](const auto& candidate) {
        const auto& [id, tracked] = candidate;
        const bool gone = !listed.contains(id) || (tracked.endpoint.removed_at &&
                                                   catalog::status_of(tracked.endpoint, now) ==
                                                       registration_status::withdrawn &&
                                                   tracked.requests.empty());
        if (gone) {
            unlisted_.keep(id, tracked.endpoint.incarnation, tracked.terms, now);
        }
        return gone;
    });
    estimates_.retain(listed);
}

unavailability endpoint_pool::unavailability_reason() const {
    const bool any_in_service =
        std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& candidate) {
            return candidate.second.endpoint.state == catalog::endpoint_state::ready &&
                   !candidate.second.evacuated && !candidate.second.endpoint.removed_at;
        });
    return any_in_service ? unavailability::all_unavailable : unavailability::none_in_service;
}

bool endpoint_pool::has_candidate(const choice_request& request, time_point now) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& one) {
        return catalog::status_of(one.second.endpoint, now) != registration_status::withdrawn &&
               is_eligible(one.second, request);
    });
}

// When the first endpoint in service becomes available; empty if none is in service.
template <class AvailableAt>
std::optional<time_point> endpoint_pool::first_available(time_point now,
                                                         AvailableAt available_at) const {
    std::optional<time_point> first;
    for (const auto& [id, candidate] : endpoints_) {
        if (catalog::status_of(candidate.endpoint, now) != registration_status::withdrawn &&
            !candidate.evacuated) {
            const auto at = available_at(candidate);
            first = std::min(first.value_or(at), at);
        }
    }
    return first;
}

milliseconds endpoint_pool::retry_after(time_point now, const entry_group& group) const {
    const auto first = first_available(now, [&](const tracked_endpoint& candidate) {
        const auto next = candidate.terms.limit.next_send(group, candidate.endpoint.id, now);
        if (!next) {
            return candidate.available_at();
        }
        // Another entry may have the share, and a caller that returns may reach it.
        const auto at = *next == time_point::max() ? now + candidate.terms.limit.interval() : *next;
        return std::max(candidate.available_at(), at);
    });
    return first
               ? std::chrono::ceil<milliseconds>(std::max<duration>(*first - now, initial_backoff))
               : max_backoff;
}

bool endpoint_pool::backed_off_until(time_point until, time_point now,
                                     const entry_group& group) const {
    const auto first = first_available(now, [&](const tracked_endpoint& candidate) {
        const auto next = candidate.terms.limit.next_send(group, candidate.endpoint.id, now);
        return std::max(candidate.available_at(), next.value_or(candidate.available_at()));
    });
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
            candidate.terms.cold.record_send(cold, group, now);
        }
        candidate.terms.limit.record_send(group, id, now);
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
    const double took =
        std::chrono::duration<double, std::milli>(now - sent->second.sent_at).count();
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

void endpoint_pool::on_retry_after(const std::string& id, std::uint64_t incarnation,
                                   milliseconds retry_after, time_point now) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.endpoint.incarnation != incarnation) {
        unlisted_.pause(id, incarnation, retry_after, now);
        return;
    }
    auto& until = found->second.terms.paused_until;
    until = std::max(until, now + retry_after);
}

std::map<std::string, time_point, std::less<>> endpoint_pool::pauses(time_point now) const {
    std::map<std::string, time_point, std::less<>> paused;
    for (const auto& [id, candidate] : endpoints_) {
        if (candidate.terms.paused_until > now) {
            paused.emplace(id, candidate.terms.paused_until);
        }
    }
    return paused;
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

void endpoint_pool::on_limit_report(const std::string& id, std::uint64_t incarnation,
                                    const limit_report& report) {
    const auto found = endpoints_.find(id);
    if (found != endpoints_.end() && found->second.endpoint.incarnation == incarnation) {
        (void)found->second.terms.limit.record(report);
    } else {
        unlisted_.record_limit(stable_hash(id), incarnation, report);
    }
}

std::vector<shared_limit> endpoint_pool::limit_reports() const {
    std::vector<shared_limit> reports;
    for (const auto& [id, candidate] : endpoints_) {
        if (candidate.terms.limit.was_announced()) {
            reports.push_back(
                {stable_hash(id), candidate.endpoint.incarnation, candidate.terms.limit.newest()});
        }
    }
    return reports;
}

void endpoint_pool::merge_limits(const std::vector<shared_limit>& reports) {
    if (reports.empty()) {
        return;
    }
    std::map<std::uint64_t, tracked_endpoint*> by_hash;
    for (auto& [id, candidate] : endpoints_) {
        by_hash.emplace(stable_hash(id), &candidate);
    }
    for (const auto& one : reports) {
        const auto found = by_hash.find(one.endpoint);
        if (found != by_hash.end() && found->second->endpoint.incarnation == one.incarnation) {
            (void)found->second->terms.limit.record(one.report);
        } else {
            unlisted_.record_limit(one.endpoint, one.incarnation, one.report);
        }
    }
}

std::optional<limit_description> endpoint_pool::describe_limit(const tracked_endpoint& candidate,
                                                               const entry_group& group,
                                                               time_point now) {
    const auto& limit = candidate.terms.limit;
    if (!limit.in_force()) {
        return std::nullopt;
    }
    return limit_description{*limit.newest().per_second, limit.share(group, candidate.endpoint.id),
                             std::chrono::floor<milliseconds>(now - limit.newest().observed_at)};
}

bool endpoint_pool::has_limit(const std::string& id) const {
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && found->second.terms.limit.in_force();
}

std::map<std::string, milliseconds, std::less<>> endpoint_pool::send_intervals() const {
    std::map<std::string, milliseconds, std::less<>> intervals;
    for (const auto& [id, candidate] : endpoints_) {
        if (candidate.terms.limit.in_force()) {
            intervals.emplace(id, candidate.terms.limit.interval());
        }
    }
    return intervals;
}

std::map<std::string, limit_description> endpoint_pool::limits(const entry_group& group,
                                                               time_point now) const {
    std::map<std::string, limit_description> in_force;
    for (const auto& [id, candidate] : endpoints_) {
        if (const auto limit = describe_limit(candidate, group, now)) {
            in_force.emplace(id, *limit);
        }
    }
    return in_force;
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
    if (now < candidate.terms.paused_until) {
        return "holds_off";
    }
    if (now < candidate.backoff_until) {
        return "failed_lately";
    }
    return now < candidate.cold_until ? "cold" : "none";
}

std::vector<endpoint_description> endpoint_pool::describe(time_point now,
                                                          const entry_group& group) const {
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
                                                      : std::nullopt,
                       describe_limit(candidate, group, now)});
    }
    return all;
}

} // namespace boragefront::balancing
