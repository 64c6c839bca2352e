#include "capacity/endpoint_estimates.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::capacity {
namespace {

constexpr milliseconds report_lifetime{400}; // of a reported slowness, for the current speed
constexpr milliseconds own_precedence{1'000};
constexpr double decay_time_s = 6; // without evidence an estimate returns to 1
constexpr milliseconds history_period{100};
// A lasting change of latency is to be followed within 2 s: a time constant of a third of that, and
// a bound on the weight of a single latency, which depends on the request as well.
constexpr double residual_time_s = 0.7;
constexpr double min_residual_weight = 0.04;
constexpr double max_residual_weight = 0.3;
constexpr double typical_weight = 0.02;
constexpr double min_slowness = 0.2;
constexpr double max_slowness = 20;
constexpr milliseconds median_interval{100};
// For this time an endpoint counts as full at the load at which it refused a request.
constexpr milliseconds refusal_lifetime{1'000};
constexpr double percent = 100;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

// The value after some time without evidence, counted from when it stopped being recent.
double relaxed(double value, time_point evidence_at, time_point now) {
    const double idle = std::max(seconds_of(now - evidence_at - own_precedence), 0.0);
    return 1 + (value - 1) * std::exp(-idle / decay_time_s);
}

double median_of(std::vector<double>& values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

} // namespace

void endpoint_estimates::slowness_history::record(double slowness, time_point now) {
    const auto period = now.time_since_epoch() / history_period;
    samples_.at(static_cast<std::size_t>(period) % period_count) = {period, slowness};
}

// A slow period of half a second is the smaller part of the history, and does not change it.
double endpoint_estimates::slowness_history::median(time_point now) const {
    const auto period = now.time_since_epoch() / history_period;
    const auto newest = std::max_element(samples_.begin(), samples_.end(),
                                         [](auto& a, auto& b) { return a.period < b.period; });
    // The history ends at the newest report, as silence says nothing about the speed.
    const auto end = std::min(period, newest->period);
    std::vector<double> values;
    for (const auto& one : samples_) {
        if (one.period >= 0 && one.period > end - static_cast<std::int64_t>(period_count)) {
            values.push_back(one.slowness);
        }
    }
    return values.empty() ? 1 : median_of(values);
}

endpoint_estimates::tracked_endpoint& endpoint_estimates::track(const std::string& endpoint,
                                                                std::uint64_t incarnation) {
    auto& tracked = endpoints_[endpoint];
    if (tracked.incarnation != incarnation) {
        tracked = tracked_endpoint{};
        tracked.incarnation = incarnation;
    }
    return tracked;
}

void endpoint_estimates::retain(const std::set<std::string>& endpoints) {
    std::erase_if(endpoints_, [&](const auto& one) { return !endpoints.contains(one.first); });
}

void endpoint_estimates::on_load(const std::string& endpoint, std::uint64_t incarnation,
                                 const load_observation& load, time_point now) {
    auto& tracked = track(endpoint, incarnation);
    tracked.load = load;
    tracked.load_at = now;
    if (load.slowness_percent) {
        slowness_reported_ = true;
        tracked.reported.record(
            std::clamp(*load.slowness_percent / percent, min_slowness, max_slowness), now);
        tracked.evidence_at = now;
        update_median(now);
    }
}

void endpoint_estimates::on_latency(const std::string& endpoint, std::uint64_t incarnation,
                                    duration elapsed, unsigned in_progress, time_point now) {
    auto& tracked = track(endpoint, incarnation);
    const bool has_report =
        tracked.load.slowness_percent && now - tracked.load_at <= report_lifetime;
    const double reported =
        has_report ? *tracked.load.slowness_percent / percent : tracked.reported.median(now);
    const double elapsed_ms = seconds_of(elapsed) * 1'000;
    // What the latency would have been at the speed that the endpoint reports as usual.
    const double usual_ms = elapsed_ms / std::clamp(reported, min_slowness, max_slowness);
    if (!typical_latency_ms_) {
        typical_latency_ms_ = usual_ms;
    }
    *typical_latency_ms_ += typical_weight * (usual_ms - *typical_latency_ms_);
    const double ratio =
        std::clamp(usual_ms / std::max(*typical_latency_ms_, 0.001), min_slowness, max_slowness);
    const double before = residual_now(tracked, now);
    const double since = tracked.residual_at ? seconds_of(now - *tracked.residual_at) : 1;
    const double weight = std::clamp(1 - std::exp(-std::max(since, 0.0) / residual_time_s),
                                     min_residual_weight, max_residual_weight);
    tracked.residual = before + weight * (ratio - before);
    tracked.residual_at = now;
    tracked.evidence_at = now;
    tracked.curve.record(std::max(in_progress, 1U), ratio, now);
    update_median(now);
}

void endpoint_estimates::on_refused(const std::string& endpoint, std::uint64_t incarnation,
                                    time_point now) {
    auto& tracked = track(endpoint, incarnation);
    if (now - tracked.load_at <= report_lifetime) {
        tracked.refused_load = std::max(tracked.load.running, 1U);
        tracked.refused_at = now;
    }
}

double endpoint_estimates::residual_now(const tracked_endpoint& endpoint, time_point now) {
    return endpoint.residual_at ? relaxed(endpoint.residual, *endpoint.residual_at, now) : 1;
}

// Usual slowness by this entry's own observations; 1 is what the service's latencies average to.
double endpoint_estimates::own_slowness(const tracked_endpoint& endpoint, time_point now) const {
    const double slowness = endpoint.reported.median(now) * residual_now(endpoint, now);
    return endpoint.evidence_at ? relaxed(slowness, *endpoint.evidence_at, now) : 1;
}

bool endpoint_estimates::uses_received(const tracked_endpoint& endpoint, time_point now) {
    if (!endpoint.received_at) {
        return false;
    }
    const bool own_is_recent = endpoint.evidence_at && now - *endpoint.evidence_at < own_precedence;
    return !own_is_recent &&
           (!endpoint.evidence_at || *endpoint.received_at > *endpoint.evidence_at);
}

// Relative to the median of the peers.
double endpoint_estimates::usual_slowness(const tracked_endpoint& endpoint, time_point now) const {
    return uses_received(endpoint, now)
               ? relaxed(endpoint.received_slowness, *endpoint.received_at, now)
               : own_slowness(endpoint, now) / median_slowness_;
}

double endpoint_estimates::current_slowness(const tracked_endpoint& endpoint,
                                            time_point now) const {
    if (!endpoint.load.slowness_percent || now - endpoint.load_at > report_lifetime) {
        return usual_slowness(endpoint, now);
    }
    return std::clamp(*endpoint.load.slowness_percent / percent, min_slowness, max_slowness) *
           residual_now(endpoint, now) / median_slowness_;
}

unsigned endpoint_estimates::concurrency(const tracked_endpoint& endpoint, time_point now) {
    auto limit = uses_received(endpoint, now)
                     ? endpoint.received_concurrency
                     : static_cast<unsigned>(std::lround(endpoint.curve.concurrency()));
    if (endpoint.load.slots > 0 && limit >= endpoint.load.slots) {
        limit = 0; // the number of slots is the only limit
    }
    if (endpoint.refused_load > 0 && now - endpoint.refused_at <= refusal_lifetime) {
        limit = limit == 0 ? endpoint.refused_load : std::min(limit, endpoint.refused_load);
    }
    return limit;
}

void endpoint_estimates::update_median(time_point now) {
    if (now - median_at_ < median_interval) {
        return;
    }
    median_at_ = now;
    std::vector<double> values;
    values.reserve(endpoints_.size());
    for (const auto& [id, endpoint] : endpoints_) {
        if (endpoint.evidence_at) {
            values.push_back(own_slowness(endpoint, now));
        }
    }
    median_slowness_ = values.empty() ? 1 : median_of(values);
}

endpoint_estimate endpoint_estimates::estimate(const std::string& endpoint, time_point now) const {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        return {};
    }
    const auto& tracked = found->second;
    endpoint_estimate known;
    known.speed = 1 / usual_slowness(tracked, now);
    known.speed_now = 1 / current_slowness(tracked, now);
    known.concurrency = concurrency(tracked, now);
    const auto newest = uses_received(tracked, now) ? tracked.received_at : tracked.evidence_at;
    if (newest) {
        known.age = std::chrono::floor<milliseconds>(now - *newest);
    }
    return known;
}

std::vector<estimate_report> endpoint_estimates::report(time_point now) const {
    std::vector<estimate_report> reports;
    for (const auto& [id, endpoint] : endpoints_) {
        if (!endpoint.evidence_at || now - *endpoint.evidence_at >= own_precedence) {
            continue;
        }
        const double speed = median_slowness_ / own_slowness(endpoint, now);
        reports.push_back({stable_hash(id), endpoint.incarnation,
                           static_cast<unsigned>(std::lround(speed * percent)),
                           concurrency(endpoint, now),
                           std::chrono::floor<milliseconds>(now - *endpoint.evidence_at)});
    }
    return reports;
}

void endpoint_estimates::merge(const std::vector<estimate_report>& reports,
                               const std::map<std::string, std::uint64_t>& incarnations,
                               time_point now) {
    std::map<std::uint64_t, const estimate_report*> by_hash;
    for (const auto& one : reports) {
        by_hash[one.endpoint] = &one;
    }
    for (const auto& [id, incarnation] : incarnations) {
        const auto found = by_hash.find(stable_hash(id));
        if (found == by_hash.end() || found->second->incarnation != incarnation ||
            found->second->speed_percent == 0) {
            continue;
        }
        auto& tracked = track(id, incarnation);
        const auto observed_at = now - std::max(found->second->age, milliseconds{0});
        if (!tracked.received_at || observed_at > *tracked.received_at) {
            tracked.received_slowness =
                std::clamp(percent / found->second->speed_percent, min_slowness, max_slowness);
            tracked.received_concurrency = found->second->concurrency;
            tracked.received_at = observed_at;
        }
    }
}

} // namespace boragefront::capacity
