#include "knowledge_clock.hpp"

#include <algorithm>

namespace boragefront::control {

void knowledge_clock::on_platform(const platform_reading& reading) {
    platform_is_stale_ = reading.answered < reading.asked_with_highest;
    platform_revision_ = std::max(platform_revision_, reading.answered);
    if (!platform_is_stale_) {
        // The answer of a watch was true when it was sent, at the end of the wait.
        confirm_at(reading.answered_at);
    }
}

void knowledge_clock::on_peer(const wire::knowledge& peer, time_point asked_at) {
    if (peer.confirmed) {
        confirm_at(asked_at - peer.age);
    }
}

milliseconds knowledge_clock::age(time_point now) const {
    constexpr std::chrono::hours never{24 * 365};
    return confirmed_at_ ? std::chrono::duration_cast<milliseconds>(now - *confirmed_at_) : never;
}

void knowledge_clock::confirm_at(time_point when) {
    confirmed_at_ = std::max(confirmed_at_.value_or(when), when);
}

} // namespace boragefront::control
