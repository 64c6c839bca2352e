#include "placement/lateness.hpp"

#include <algorithm>

namespace boragefront::placement {
namespace {

// Two thirds of the timeout of a dispatch request, and many round trips.
constexpr double late_response_ms = 100;
constexpr double smoothing_weight = 0.25; // of the newest response
constexpr seconds observation_lifetime{2};
constexpr seconds report_lifetime{2}; // several gossip rounds
// After the last report that made an entry late: a new dispatcher must not lose the service again
// as soon as the load has left the former one.
constexpr seconds recovery_time{2};
constexpr std::size_t min_reporters = 2;
constexpr std::size_t reporters_divisor = 4; // of the observers that were heard lately

} // namespace

void response_monitor::record(const entry_life& entry, double elapsed_ms, time_point now) {
    std::erase_if(observations_,
                  [now](const auto& one) { return now - one.second.at > observation_lifetime; });
    auto [found, is_new] = observations_.try_emplace(entry, observation{elapsed_ms, now});
    if (!is_new) {
        auto& kept = found->second;
        kept.mean_ms += smoothing_weight * (elapsed_ms - kept.mean_ms);
        kept.at = now;
    }
}

void response_monitor::record_response(const entry_life& entry, duration elapsed, time_point now) {
    record(entry, std::chrono::duration<double, std::milli>(elapsed).count(), now);
}

void response_monitor::record_missed(const entry_life& entry, duration timeout, time_point now) {
    // The response would have taken longer; how much longer is not known.
    record(entry, 2 * std::chrono::duration<double, std::milli>(timeout).count(), now);
}

std::vector<entry_life> response_monitor::late(time_point now) const {
    std::vector<entry_life> entries;
    for (const auto& [entry, observed] : observations_) {
        if (observed.mean_ms > late_response_ms && now - observed.at <= observation_lifetime) {
            entries.push_back(entry);
        }
    }
    return entries;
}

void lateness_reports::record(const std::string& observer, std::vector<entry_life> late,
                              time_point now) {
    std::erase_if(reports_,
                  [now](const auto& one) { return now - one.second.at > report_lifetime; });
    std::erase_if(late_until_, [now](const auto& one) { return now > one.second; });
    const auto& latest = reports_[observer] = {std::move(late), now};
    for (const auto& entry : latest.late) {
        if (is_reported(entry)) {
            late_until_[entry] = now + recovery_time;
        }
    }
}

// Whether enough observers report an entry.
bool lateness_reports::is_reported(const entry_life& entry) const {
    std::size_t heard = 0;
    std::size_t reporters = 0;
    for (const auto& [observer, latest] : reports_) {
        if (observer == entry.first) {
            continue;
        }
        ++heard;
        reporters +=
            std::find(latest.late.begin(), latest.late.end(), entry) == latest.late.end() ? 0 : 1;
    }
    return reporters >= min_reporters && reporters * reporters_divisor >= heard;
}

bool lateness_reports::is_late(const entry_life& entry, time_point now) const {
    const auto found = late_until_.find(entry);
    return found != late_until_.end() && now <= found->second;
}

} // namespace boragefront::placement
