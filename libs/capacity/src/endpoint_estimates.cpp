#include "capacity/endpoint_estimates.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::capacity {
namespace {

constexpr milliseconds report_lifetime{400}; // of a reported slowness, for the current speed
constexpr milliseconds recent_evidence{1'000};
// A received estimate counts only after this entry's own has mostly returned to 1. With 1 s, all
// entries followed the few that still sent requests, and left an endpoint idle for seconds.
constexpr milliseconds own_precedence{6'000};
constexpr double decay_time_s = 6; // without evidence an estimate returns to 1
constexpr milliseconds history_period{100};
// A lasting change of latency is to be followed within 2 s. A slow period of half a second is the
// smaller part of this time and does not change the median.
constexpr milliseconds ratio_lifetime{1'500};
constexpr std::size_t max_ratios = 24;
// Observations of 1 that are added: single latencies depend on the request as well, and a single
// report may stem from a short slow period.
constexpr std::size_t prior_observations = 2;
constexpr double load_weight = 0.05;
// A single absurd report must not raise the load that is assumed at all other endpoints.
constexpr double load_outlier_factor = 2;
constexpr double load_outlier_slack = 10; // requests
constexpr double load_decay_s = 0.2;      // half of the lifetime of a report
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
    const double idle = std::max(seconds_of(now - evidence_at - recent_evidence), 0.0);
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

// A slow period of half a second is the smaller part of the history, and does not change it. The
// history ends at the newest report, as silence says nothing about the speed.
double endpoint_estimates::slowness_history::median() const {
    const auto newest =
        std::max_element(samples_.begin(), samples_.end(), [](const auto& a, const auto& b) {
            return a.period < b.period;
        })->period;
    std::vector<double> values(prior_observations, 1.0);
    for (const auto& one : samples_) {
        if (one.period >= 0 && one.period > newest - static_cast<std::int64_t>(period_count)) {
            values.push_back(one.slowness);
        }
    }
    return median_of(values);
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

void endpoint_estimates::retain(const std::map<std::string, std::uint64_t>& incarnations) {
    std::erase_if(endpoints_, [&](const auto& one) {
        const auto found = incarnations.find(one.first);
        return found == incarnations.end() || found->second != one.second.incarnation;
    });
    if (incarnations != incarnations_) {
        incarnations_ = incarnations;
        by_hash_.clear();
        for (const auto& [id, incarnation] : incarnations_) {
            by_hash_.insert_or_assign(stable_hash(id), listed_endpoint{id, incarnation});
        }
    }
    slowness_reported_ = std::any_of(endpoints_.begin(), endpoints_.end(), [](const auto& one) {
        return one.second.load.slowness_percent.has_value();
    });
}

void endpoint_estimates::on_load(const std::string& endpoint, std::uint64_t incarnation,
                                 const load_observation& load, time_point now) {
    auto& tracked = track(endpoint, incarnation);
    tracked.load = load;
    tracked.load_at = now;
    const double reported = static_cast<double>(load.running) + load.waiting;
    const double most = load_outlier_factor * mean_load_ + load_outlier_slack;
    mean_load_ += load_weight * (std::min(reported, most) - mean_load_);
    if (load.slowness_percent) {
        slowness_reported_ = true;
        tracked.reported_now =
            std::clamp(*load.slowness_percent / percent, min_slowness, max_slowness);
        tracked.reported_at = now;
        tracked.reports.record(tracked.reported_now, now);
        tracked.reported_usual = tracked.reports.median();
        tracked.evidence_at = now;
        update_median(now);
    }
}

void endpoint_estimates::on_latency(const std::string& endpoint, std::uint64_t incarnation,
                                    duration elapsed, unsigned in_progress, time_point now) {
    auto& tracked = track(endpoint, incarnation);
    const double reported = now - tracked.reported_at <= report_lifetime
                                ? tracked.reported_now
                                : reported_usual_now(tracked, now);
    // What the latency would have been at the speed that the endpoint reports as usual.
    const double usual_ms = seconds_of(elapsed) * 1'000 / reported;
    // Compared with what the service's endpoints take under such load: a busy endpoint is not slow.
    service_curve_.record(in_progress, usual_ms, now);
    const double ratio =
        std::clamp(usual_ms / std::max(service_curve_.latency_at(in_progress), 0.001), min_slowness,
                   max_slowness);
    tracked.ratios.emplace_back(now, ratio);
    while (tracked.ratios.size() > max_ratios ||
           now - tracked.ratios.front().first > ratio_lifetime) {
        tracked.ratios.pop_front();
    }
    std::vector<double> values(prior_observations, 1.0);
    for (const auto& [at, value] : tracked.ratios) {
        values.push_back(value);
    }
    tracked.residual = median_of(values);
    tracked.evidence_at = now;
    tracked.curve.record(in_progress, usual_ms, now);
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
    return endpoint.ratios.empty() ? 1
                                   : relaxed(endpoint.residual, endpoint.ratios.back().first, now);
}

double endpoint_estimates::reported_usual_now(const tracked_endpoint& endpoint, time_point now) {
    return relaxed(endpoint.reported_usual, endpoint.reported_at, now);
}

// Usual slowness when this entry last observed the endpoint, which it has; 1 is what the service's
// latencies average to.
double endpoint_estimates::own_slowness(const tracked_endpoint& endpoint) {
    const auto at = *endpoint.evidence_at;
    return reported_usual_now(endpoint, at) * residual_now(endpoint, at);
}

bool endpoint_estimates::uses_received(const tracked_endpoint& endpoint, time_point now) {
    if (!endpoint.received_at) {
        return false;
    }
    const bool own_is_recent = endpoint.evidence_at && now - *endpoint.evidence_at < own_precedence;
    return !own_is_recent &&
           (!endpoint.evidence_at || *endpoint.received_at > *endpoint.evidence_at);
}

// Relative to the median of the peers, to which it returns without evidence.
double endpoint_estimates::usual_slowness(const tracked_endpoint& endpoint, time_point now) const {
    if (uses_received(endpoint, now)) {
        return relaxed(endpoint.received_slowness, *endpoint.received_at, now);
    }
    return endpoint.evidence_at
               ? relaxed(own_slowness(endpoint) / median_slowness_, *endpoint.evidence_at, now)
               : 1;
}

double endpoint_estimates::current_slowness(const tracked_endpoint& endpoint,
                                            time_point now) const {
    return now - endpoint.reported_at > report_lifetime
               ? usual_slowness(endpoint, now)
               : endpoint.reported_now * residual_now(endpoint, now) / median_slowness_;
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
        if (endpoint.evidence_at && now - *endpoint.evidence_at <= own_precedence) {
            values.push_back(own_slowness(endpoint));
        }
    }
    median_slowness_ = values.empty() ? 1 : median_of(values);
}

endpoint_estimate endpoint_estimates::estimate(const std::string& endpoint, time_point now) const {
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end()) {
        endpoint_estimate unknown;
        unknown.expected_load = mean_load_;
        return unknown;
    }
    const auto& tracked = found->second;
    endpoint_estimate known;
    known.speed = 1 / usual_slowness(tracked, now);
    known.speed_now = 1 / current_slowness(tracked, now);
    known.concurrency = concurrency(tracked, now);
    const double trust = std::exp(-seconds_of(now - tracked.load_at) / load_decay_s);
    const double last = static_cast<double>(tracked.load.running) + tracked.load.waiting;
    const double assumed = mean_load_ * std::min(known.speed, 1.0);
    known.expected_load = assumed + trust * (last - assumed);
    const auto newest = uses_received(tracked, now) ? tracked.received_at : tracked.evidence_at;
    if (newest) {
        known.age = std::chrono::floor<milliseconds>(now - *newest);
    }
    return known;
}

std::vector<estimate_report> endpoint_estimates::report(time_point now) const {
    std::vector<estimate_report> reports;
    for (const auto& [id, endpoint] : endpoints_) {
        if (!endpoint.evidence_at || now - *endpoint.evidence_at >= recent_evidence) {
            continue;
        }
        const double speed = median_slowness_ / own_slowness(endpoint);
        reports.push_back({stable_hash(id), endpoint.incarnation,
                           static_cast<unsigned>(std::lround(speed * percent)),
                           concurrency(endpoint, now),
                           std::chrono::floor<milliseconds>(now - *endpoint.evidence_at)});
    }
    return reports;
}

void endpoint_estimates::merge(const std::vector<estimate_report>& reports, time_point now) {
    for (const auto& report : reports) {
        const auto found = by_hash_.find(report.endpoint);
        if (found == by_hash_.end() || found->second.incarnation != report.incarnation ||
            report.speed_percent == 0) {
            continue;
        }
        auto& tracked = track(found->second.id, found->second.incarnation);
        const auto observed_at = now - std::max(report.age, milliseconds{0});
        if (!tracked.received_at || observed_at > *tracked.received_at) {
            tracked.received_slowness =
                std::clamp(percent / report.speed_percent, min_slowness, max_slowness);
            tracked.received_concurrency = report.concurrency;
            tracked.received_at = observed_at;
        }
    }
}

} // namespace boragefront::capacity
