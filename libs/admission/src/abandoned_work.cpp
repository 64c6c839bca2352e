/// \file
/// Implementation of the account of abandoned work.
#include "admission/abandoned_work.hpp"

#include <algorithm>

namespace boragefront::admission {

void abandoned_work::assume_predecessor(std::size_t slots, time_point now) {
    if (policy_.enabled) {
        given_up_.insert(given_up_.end(), slots, now);
    }
}

void abandoned_work::add(time_point now) {
    if (policy_.enabled) {
        given_up_.push_back(now);
        reports_ = 0;
    }
}

void abandoned_work::add_cancelled(time_point now) {
    if (policy_.enabled) {
        cancelled_.push_back(now);
    }
}

void abandoned_work::clear() {
    given_up_.clear();
    cancelled_.clear();
    reports_ = 0;
}

void abandoned_work::note_own_running(std::size_t running, time_point now) {
    if (own_.empty() || own_.back().running != running) {
        own_.push_back({now, running});
    }
    // The sample in force at the start of the lag is still needed.
    while (own_.size() > 1 && own_[1].at <= now - policy_.report_lag) {
        own_.pop_front();
    }
    while (!cancelled_.empty() && cancelled_.front() + policy_.cancel_time <= now) {
        cancelled_.pop_front();
    }
}

std::size_t abandoned_work::least_own_since(time_point since) const {
    if (own_.empty() || own_.front().at > since) {
        return 0;
    }
    std::size_t least = own_.front().running;
    for (std::size_t i = 0; i < own_.size(); ++i) {
        const bool ends_before = i + 1 < own_.size() && own_[i + 1].at <= since;
        least = ends_before ? own_[i + 1].running : std::min(least, own_[i].running);
    }
    return least;
}

void abandoned_work::on_report(std::size_t reported, time_point now) {
    const auto shown_since = now - policy_.report_lag;
    const auto newer =
        std::find_if(given_up_.begin(), given_up_.end(),
                     [&](const time_point& given_up) { return given_up > shown_since; });
    const auto shown = static_cast<std::size_t>(newer - given_up_.begin());
    if (shown == 0) {
        reports_ = 0;
        return;
    }
    const auto own = least_own_since(shown_since);
    const auto others = reported > own ? reported - own : 0;
    most_seen_ = reports_ == 0 ? others : std::max(most_seen_, others);
    ++reports_;
    if (reports_ < policy_.agreeing_reports) {
        return;
    }
    reports_ = 0;
    if (shown > most_seen_) {
        const auto freed = static_cast<std::ptrdiff_t>(shown - most_seen_);
        given_up_.erase(given_up_.begin(), given_up_.begin() + freed);
    }
}

std::size_t abandoned_work::held(time_point now) const {
    const auto noticing =
        std::count_if(cancelled_.begin(), cancelled_.end(), [&](const time_point& cancelled) {
            return cancelled + policy_.cancel_time > now;
        });
    return given_up_.size() + static_cast<std::size_t>(noticing);
}

} // namespace boragefront::admission
