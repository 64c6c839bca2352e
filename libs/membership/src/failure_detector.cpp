/// \file
#include "membership/failure_detector.hpp"

#include <algorithm>

namespace boragefront::membership {
namespace {

constexpr unsigned failures_to_suspect = 3;
constexpr milliseconds first_suspicion{500};
constexpr unsigned most_doublings = 4;
constexpr milliseconds refusal_pause{1'000};

duration suspicion_after(unsigned failures) {
    const auto doublings = std::min(failures - failures_to_suspect, most_doublings);
    return first_suspicion * (1U << doublings);
}

} // namespace

void failure_detector::on_success(std::string_view id) {
    const auto found = all_.find(id);
    if (found != all_.end()) {
        all_.erase(found);
    }
}

void failure_detector::on_failure(std::string_view id, time_point now) {
    auto& evidence = of(id);
    ++evidence.consecutive_failures;
    if (evidence.consecutive_failures >= failures_to_suspect) {
        evidence.suspected_until = now + suspicion_after(evidence.consecutive_failures);
    }
}

void failure_detector::on_timeout(std::string_view id, time_point now) {
    auto& evidence = of(id);
    evidence.consecutive_failures =
        std::max(evidence.consecutive_failures, failures_to_suspect - 1);
    on_failure(id, now);
}

void failure_detector::on_refusal(std::string_view id, time_point now) {
    auto& evidence = of(id);
    evidence.refusing_until = now + refusal_pause;
}

bool failure_detector::is_refusing(std::string_view id, time_point now) const {
    const auto found = all_.find(id);
    return found != all_.end() && now < found->second.refusing_until;
}

bool failure_detector::is_suspected(std::string_view id, time_point now) const {
    const auto found = all_.find(id);
    return found != all_.end() && now < found->second.suspected_until;
}

instance_evidence& failure_detector::of(std::string_view id) {
    return all_.try_emplace(std::string{id}).first->second;
}

} // namespace boragefront::membership
