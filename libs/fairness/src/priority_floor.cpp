#include "fairness/priority_floor.hpp"

#include <algorithm>

namespace boragefront::fairness {
namespace {

constexpr std::int64_t window_seconds = 10;
constexpr std::int64_t claim_delay_seconds = 2;
// Above the required quarter, as the window moves in steps of a second and new work gives no claim.
constexpr double min_relative_service = 1.0 / 3;

std::int64_t second_of(time_point now) {
    return std::chrono::floor<seconds>(now.time_since_epoch()).count();
}

} // namespace

priority_floor::second_totals& priority_floor::current(history& of, time_point now) {
    const auto second = second_of(now);
    while (!of.empty() && of.front().second <= second - window_seconds - claim_delay_seconds) {
        of.pop_front();
    }
    if (of.empty() || of.back().second != second) {
        of.push_back({second, 0, 0});
    }
    return of.back();
}

// What was started in the window, and what arrived in a window that ended before the claim delay.
priority_floor::totals priority_floor::sum(const history& of, time_point now) {
    totals sums;
    for (const auto& each : of) {
        const auto age = second_of(now) - each.second;
        if (age < window_seconds) {
            sums.started += each.started;
        }
        if (age >= claim_delay_seconds && age < window_seconds + claim_delay_seconds) {
            sums.arrived += each.arrived;
        }
    }
    return sums;
}

void priority_floor::record_arrival(int priority, double cost, time_point now) {
    current(by_priority_[priority], now).arrived += cost;
}

void priority_floor::record_start(int priority, double cost, time_point now) {
    current(by_priority_[priority], now).started += cost;
}

bool priority_floor::is_starved(int priority, time_point now) const {
    const auto found = by_priority_.find(priority);
    if (by_priority_.size() < 2 || found == by_priority_.end()) {
        return false;
    }
    totals all;
    for (const auto& [each, totals_of] : by_priority_) {
        const auto sums = sum(totals_of, now);
        all.arrived += sums.arrived;
        all.started += sums.started;
    }
    if (all.arrived <= 0) {
        return false;
    }
    const auto served_part = std::min(all.started / all.arrived, 1.0);
    const auto own = sum(found->second, now);
    return own.started < min_relative_service * served_part * own.arrived;
}

} // namespace boragefront::fairness
