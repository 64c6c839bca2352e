/// \file
#include "membership/failure_detector.hpp"

#include <algorithm>

namespace boragefront::membership {
namespace {

constexpr unsigned suspicion_threshold = 3;
constexpr milliseconds initial_suspicion{500};
constexpr unsigned max_doublings = 4;
constexpr milliseconds refusal_duration{1'000};

duration suspicion_duration(unsigned failures) {
    const auto doublings = std::min(failures - suspicion_threshold, max_doublings);
    return initial_suspicion * (1U << doublings);
}

} // namespace

void failure_detector::on_success(std::string_view id) {
    const auto found = instances_.find(id);
    if (found != instances_.end()) {
        instances_.erase(found);
    }
}

void failure_detector::on_failure(std::string_view id, time_point now) {
    auto& health = find_or_add(id);
    ++health.consecutive_failures;
    if (health.consecutive_failures >= suspicion_threshold) {
        health.suspected_until = now + suspicion_duration(health.consecutive_failures);
    }
}

void failure_detector::on_timeout(std::string_view id, time_point now) {
    auto& health = find_or_add(id);
    health.consecutive_failures = std::max(health.consecutive_failures, suspicion_threshold - 1);
    on_failure(id, now);
}

void failure_detector::on_refusal(std::string_view id, time_point now) {
    auto& health = find_or_add(id);
    health.refusing_until = now + refusal_duration;
}

bool failure_detector::is_refusing(std::string_view id, time_point now) const {
    const auto found = instances_.find(id);
    return found != instances_.end() && now < found->second.refusing_until;
}

bool failure_detector::is_suspected(std::string_view id, time_point now) const {
    const auto found = instances_.find(id);
    return found != instances_.end() && now < found->second.suspected_until;
}

instance_health& failure_detector::find_or_add(std::string_view id) {
    return instances_.try_emplace(std::string{id}).first->second;
}

} // namespace boragefront::membership
