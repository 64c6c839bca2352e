/// \file
#include "admission/abandoned_work.hpp"

#include <algorithm>

namespace boragefront::admission {

void abandoned_work::assume_predecessor(std::size_t slots, time_point now) {
    if (policy_.enabled) {
        abandoned_.insert(abandoned_.end(), slots, now);
    }
}

void abandoned_work::add(time_point now) {
    if (policy_.enabled) {
        abandoned_.push_back(now);
        reports_ = 0;
    }
}

void abandoned_work::add_cancelled(time_point now) {
    if (policy_.enabled) {
        cancelled_.push_back(now);
    }
}

void abandoned_work::clear() {
    abandoned_.clear();
    cancelled_.clear();
    reports_ = 0;
}

void abandoned_work::set_own_running(std::size_t running, time_point now) {
    if (own_.empty() || own_.back().running != running) {
        own_.push_back({now, running});
    }
    // Reports may describe any moment within the report lag: keeps the sample valid at its start.
    while (own_.size() > 1 && own_[1].at <= now - policy_.report_lag) {
        own_.pop_front();
    }
    while (!cancelled_.empty() && cancelled_.front() + policy_.cancel_latency <= now) {
        cancelled_.pop_front();
    }
}

std::size_t abandoned_work::min_own_running_since(time_point since) const {
    if (own_.empty() || own_.front().at > since) {
        return 0;
    }
    std::size_t min_running = own_.front().running;
    for (std::size_t i = 0; i < own_.size(); ++i) {
        const bool superseded = i + 1 < own_.size() && own_[i + 1].at <= since;
        min_running = superseded ? own_[i + 1].running : std::min(min_running, own_[i].running);
    }
    return min_running;
}

void abandoned_work::on_report(std::size_t reported, time_point now) {
    const auto reflected_since = now - policy_.report_lag;
    const auto first_unreflected =
        std::find_if(abandoned_.begin(), abandoned_.end(), [&](const time_point& abandoned_at) {
            return abandoned_at > reflected_since;
        });
    const auto reflected = static_cast<std::size_t>(first_unreflected - abandoned_.begin());
    if (reflected == 0) {
        reports_ = 0;
        return;
    }
    const auto own = min_own_running_since(reflected_since);
    const auto others = reported > own ? reported - own : 0;
    max_other_running_ = reports_ == 0 ? others : std::max(max_other_running_, others);
    ++reports_;
    if (reports_ < policy_.confirming_reports) {
        return;
    }
    reports_ = 0;
    if (reflected > max_other_running_) {
        const auto freed = static_cast<std::ptrdiff_t>(reflected - max_other_running_);
        abandoned_.erase(abandoned_.begin(), abandoned_.begin() + freed);
    }
}

std::size_t abandoned_work::held(time_point now) const {
    const auto cancelling =
        std::count_if(cancelled_.begin(), cancelled_.end(), [&](const time_point& cancelled_at) {
            return cancelled_at + policy_.cancel_latency > now;
        });
    return abandoned_.size() + static_cast<std::size_t>(cancelling);
}

} // namespace boragefront::admission
