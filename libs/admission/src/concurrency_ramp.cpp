/// \file
#include "admission/concurrency_ramp.hpp"

#include <algorithm>

namespace boragefront::admission {

std::string_view to_string(cold_cause cause) {
    switch (cause) {
    case cold_cause::started:
        return "started";
    case cold_cause::endpoint_restarted:
        return "endpoint_restarted";
    case cold_cause::reported_cold:
        return "reported_cold";
    case cold_cause::connection_failed:
        return "connection_failed";
    case cold_cause::slow:
        return "slow";
    case cold_cause::cache_lost:
        return "cache_lost";
    case cold_cause::overloaded:
        break;
    }
    return "overloaded";
}

concurrency_ramp::concurrency_ramp(config::limits limits, config::ramp policy, bool enabled)
    : full_{limits.concurrency}, policy_{policy}, enabled_{enabled} {}

unsigned concurrency_ramp::limit() const {
    if (!enabled_) {
        return full_;
    }
    return std::min(full_, policy_.cold_limit + steps_);
}

void concurrency_ramp::set_policy(config::limits limits, config::ramp policy) {
    full_ = limits.concurrency;
    policy_ = policy;
    steps_ = std::min(steps_, full_);
}

void concurrency_ramp::on_completed(warm_up_id dispatched_in) {
    if (dispatched_in != warm_up_ || reported_cold_ || is_full()) {
        return;
    }
    ++completions_;
    if (completions_ >= policy_.completions_per_step) {
        completions_ = 0;
        ++steps_;
    }
}

void concurrency_ramp::fall_back(cold_cause cause) {
    steps_ = 0;
    completions_ = 0;
    ++warm_up_;
    last_cause_ = cause;
}

bool concurrency_ramp::set_reported_cold(bool cold) {
    const bool turned_cold = cold && !reported_cold_;
    reported_cold_ = cold;
    if (turned_cold) {
        fall_back(cold_cause::reported_cold);
    }
    return turned_cold;
}

} // namespace boragefront::admission
