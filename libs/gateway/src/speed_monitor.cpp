#include "speed_monitor.hpp"

#include "base/logging.hpp"

#include <cmath>

namespace boragefront::gateway {
namespace {

constexpr std::string_view speed_gauge = "boragefront_endpoint_speed";

std::string in_percent(double speed) {
    return std::to_string(std::lround(speed * 100));
}

std::string labels_of(const std::string& service, const std::string& endpoint) {
    std::string labels = "service=\"";
    labels += service;
    labels += "\",endpoint=\"";
    labels += endpoint;
    labels += '"';
    return labels;
}

} // namespace

void speed_monitor::update(
    const std::map<std::string, balancing::endpoint_pool, std::less<>>& pools,
    metrics_registry& metrics, time_point now) {
    std::set<std::string> known;
    std::set<std::string> gauges;
    for (const auto& [service, pool] : pools) {
        if (!pool.estimates_capacity()) {
            continue;
        }
        for (const auto& [id, estimate] : pool.estimates(now)) {
            known.insert(id);
            if (watch_.record(id, estimate.speed, now)) {
                log_change("capacity", "speed_changed",
                           {{"service", service},
                            {"endpoint", id},
                            {"range", capacity::to_string(watch_.range(id))},
                            {"speed_percent", in_percent(estimate.speed)},
                            {"concurrency", std::to_string(estimate.concurrency)}});
            }
            using capacity::speed_watch;
            if (speed_watch::range_of(estimate.speed) != speed_watch::speed_range::usual) {
                const auto labels = labels_of(service, id);
                metrics.get_gauge(speed_gauge, labels).set(estimate.speed);
                gauges.insert(labels);
            }
        }
    }
    for (const auto& labels : gauges_) {
        if (!gauges.contains(labels)) {
            metrics.remove_gauge(speed_gauge, labels);
        }
    }
    gauges_ = std::move(gauges);
    watch_.retain(known);
}

} // namespace boragefront::gateway
