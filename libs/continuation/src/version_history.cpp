#include "continuation/version_history.hpp"

#include <algorithm>

namespace boragefront::continuation {
namespace {

// Beyond what others are asked for, as their reports take time.
constexpr milliseconds version_retention{2 * version_history_time};

} // namespace

void version_history::observe(const service_listing& listing, time_point now) {
    covered_since_ = covered_since_.value_or(now);
    for (const auto& [service, listed] : in_service_) {
        for (const auto version : listed.versions) {
            left_at_[service][version] = now;
        }
    }
    for (const auto& [service, listed] : listing) {
        for (const auto version : listed.versions) {
            left_at_[service].erase(version);
        }
    }
    in_service_ = listing;
    for (auto& [service, versions] : left_at_) {
        std::erase_if(versions,
                      [&](const auto& one) { return now - one.second > version_retention; });
    }
    std::erase_if(left_at_, [](const auto& service) { return service.second.empty(); });
}

void version_history::assume_unchanged(const std::vector<stream_origin>& seen, time_point now) {
    for (const auto& one : seen) {
        record_departure(one, now);
    }
    for (const auto& [service, listed] : in_service_) {
        assumed_since_[service] = listed.last_start + replacement_time;
    }
}

void version_history::record_departure(const stream_origin& version, time_point at) {
    const auto listed = in_service_.find(version.service);
    if (listed == in_service_.end() || !listed->second.versions.contains(version.version)) {
        auto& left_at = left_at_[version.service][version.version];
        left_at = std::max(left_at, at);
    }
}

void version_history::merge(const version_report& report, time_point now) {
    if (!covered_since_) {
        return;
    }
    covered_since_ = std::min(*covered_since_, now - report.covered);
    for (const auto& [seen, last_seen] : report.sightings) {
        record_departure(seen, now - last_seen);
    }
}

version_report version_history::report(time_point now) const {
    version_report report;
    if (!covered_since_) {
        return report;
    }
    report.covered = std::chrono::floor<milliseconds>(
        std::min<duration>(now - *covered_since_, version_history_time));
    for (const auto& [service, listed] : in_service_) {
        for (const auto version : listed.versions) {
            report.sightings.push_back({{service, version}, milliseconds{0}});
        }
    }
    for (const auto& [service, versions] : left_at_) {
        for (const auto& [version, at] : versions) {
            if (now - at <= version_history_time) {
                report.sightings.push_back(
                    {{service, version}, std::chrono::floor<milliseconds>(now - at)});
            }
        }
    }
    return report;
}

std::optional<version_key> version_history::sole_version(service_key service,
                                                         time_point since) const {
    const auto assumed = assumed_since_.find(service);
    if (!covers(since) && (assumed == assumed_since_.end() || assumed->second > since)) {
        return std::nullopt;
    }
    std::set<version_key> versions;
    if (const auto found = in_service_.find(service); found != in_service_.end()) {
        versions = found->second.versions;
    }
    if (const auto found = left_at_.find(service); found != left_at_.end()) {
        for (const auto& [version, at] : found->second) {
            if (at >= since) {
                versions.insert(version);
            }
        }
    }
    const bool is_sole = versions.size() == 1 && *versions.begin() != version_key::unknown;
    return is_sole ? std::optional{*versions.begin()} : std::nullopt;
}

} // namespace boragefront::continuation
