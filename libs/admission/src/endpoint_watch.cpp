/// \file
/// Implementation of the watch over an endpoint.
#include "admission/endpoint_watch.hpp"

#include <algorithm>

namespace boragefront::admission {
namespace {

constexpr unsigned failures_to_doubt = 3;
constexpr std::size_t least_cached_prefixes = 4;
constexpr std::size_t most_past_lives = 16;

} // namespace

void endpoint_watch::on_report(time_point now) {
    failures_ = 0;
    last_contact_ = now;
    reachable_ = true;
}

bool endpoint_watch::on_report_failure(bool refused, time_point now) {
    ++failures_;
    const bool silent =
        failures_ >= failures_to_doubt && now - last_contact_ > policy_.contact_timeout;
    const bool was_reachable = reachable_;
    reachable_ = reachable_ && !refused && !silent;
    return was_reachable && !reachable_;
}

endpoint_life endpoint_watch::note_life(const std::string& life) {
    if (std::find(past_lives_.begin(), past_lives_.end(), life) != past_lives_.end()) {
        return endpoint_life::past;
    }
    if (life.empty() || life == life_) {
        return endpoint_life::current;
    }
    const bool first = life_.empty();
    if (!first) {
        past_lives_.push_back(life_);
    }
    if (past_lives_.size() > most_past_lives) {
        past_lives_.pop_front();
    }
    life_ = life;
    cached_prefixes_ = 0;
    return first ? endpoint_life::current : endpoint_life::renewed;
}

bool endpoint_watch::note_cache(std::size_t prefixes) {
    const bool lost = cached_prefixes_ >= least_cached_prefixes && prefixes < cached_prefixes_ / 2;
    cached_prefixes_ = prefixes;
    return lost;
}

} // namespace boragefront::admission
