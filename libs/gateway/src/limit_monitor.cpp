#include "limit_monitor.hpp"

#include "base/logging.hpp"

#include <string_view>

namespace boragefront::gateway {
namespace {

constexpr std::string_view limit_gauge = "boragefront_endpoint_limit";
constexpr std::string_view share_gauge = "boragefront_endpoint_limit_share";
constexpr std::string_view age_gauge = "boragefront_endpoint_limit_age_seconds";

std::string labels_of(const std::pair<std::string, std::string>& key) {
    return "service=\"" + key.first + "\",endpoint=\"" + key.second + '"';
}

} // namespace

void limit_monitor::log_change_of(const limit_key& key, const balancing::limit_description* before,
                                  const balancing::limit_description* now) const {
    const auto text = [](const balancing::limit_description* limit, auto member) {
        return limit == nullptr ? std::string{"none"} : std::to_string(limit->*member);
    };
    using balancing::limit_description;
    log_change("endpoints", "limit_changed",
               {{"service", key.first},
                {"endpoint", key.second},
                {"limit_before", text(before, &limit_description::per_second)},
                {"limit", text(now, &limit_description::per_second)},
                {"share", text(now, &limit_description::share)},
                {"age_ms", now == nullptr ? "" : std::to_string(now->age.count())}});
}

void limit_monitor::update(
    const std::map<std::string, balancing::endpoint_pool, std::less<>>& pools,
    const balancing::entry_group& group, metrics_registry& metrics, time_point now) {
    std::map<limit_key, balancing::limit_description> current;
    for (const auto& [service, pool] : pools) {
        for (const auto& [endpoint, limit] : pool.limits(group, now)) {
            current.emplace(limit_key{service, endpoint}, limit);
        }
    }
    for (const auto& [key, limit] : current) {
        const auto before = known_.find(key);
        if (before == known_.end()) {
            log_change_of(key, nullptr, &limit);
        } else if (before->second.per_second != limit.per_second ||
                   before->second.share != limit.share) {
            log_change_of(key, &before->second, &limit);
        }
        const auto labels = labels_of(key);
        metrics.get_gauge(limit_gauge, labels).set(limit.per_second);
        metrics.get_gauge(share_gauge, labels).set(limit.share);
        metrics.get_gauge(age_gauge, labels).set(std::chrono::duration<double>(limit.age).count());
    }
    for (const auto& [key, limit] : known_) {
        if (!current.contains(key)) {
            log_change_of(key, &limit, nullptr);
            for (const auto gauge : {limit_gauge, share_gauge, age_gauge}) {
                metrics.remove_gauge(gauge, labels_of(key));
            }
        }
    }
    known_ = std::move(current);
}

} // namespace boragefront::gateway
