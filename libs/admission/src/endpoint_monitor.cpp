/// \file
#include "admission/endpoint_monitor.hpp"

#include <algorithm>

namespace boragefront::admission {
namespace {

constexpr unsigned unreachable_after_failures = 3;
constexpr std::size_t min_cached_prefixes = 4;
constexpr std::size_t max_past_incarnations = 16;

} // namespace

void endpoint_monitor::on_report(time_point now) {
    failures_ = 0;
    last_contact_ = now;
    reachable_ = true;
}

bool endpoint_monitor::on_report_failure(bool refused, time_point now) {
    ++failures_;
    const bool timed_out =
        failures_ >= unreachable_after_failures && now - last_contact_ > policy_.contact_timeout;
    const bool was_reachable = reachable_;
    reachable_ = reachable_ && !refused && !timed_out;
    return was_reachable && !reachable_;
}

endpoint_incarnation endpoint_monitor::note_incarnation(const std::string& reported) {
    if (std::find(past_incarnations_.begin(), past_incarnations_.end(), reported) !=
        past_incarnations_.end()) {
        return endpoint_incarnation::stale;
    }
    if (reported.empty() || reported == incarnation_) {
        return endpoint_incarnation::current;
    }
    const bool first = incarnation_.empty();
    if (!first) {
        past_incarnations_.push_back(incarnation_);
    }
    if (past_incarnations_.size() > max_past_incarnations) {
        past_incarnations_.pop_front();
    }
    incarnation_ = reported;
    cached_prefixes_ = 0;
    return first ? endpoint_incarnation::current : endpoint_incarnation::restarted;
}

bool endpoint_monitor::note_cached_prefixes(std::size_t prefixes) {
    const bool lost = cached_prefixes_ >= min_cached_prefixes && prefixes < cached_prefixes_ / 2;
    cached_prefixes_ = prefixes;
    return lost;
}

} // namespace boragefront::admission
