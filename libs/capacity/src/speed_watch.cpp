#include "capacity/speed_watch.hpp"

namespace boragefront::capacity {
namespace {

constexpr double slow_below = 0.8;
constexpr double fast_above = 1.25;
constexpr seconds lasting{2};

} // namespace

speed_watch::speed_range speed_watch::range_of(double speed) {
    if (speed < slow_below) {
        return speed_range::slow;
    }
    return speed > fast_above ? speed_range::fast : speed_range::usual;
}

bool speed_watch::record(const std::string& endpoint, double speed, time_point now) {
    auto& one = endpoints_[endpoint];
    const auto current = range_of(speed);
    if (current != one.current) {
        one.current = current;
        one.since = now;
    }
    if (one.current == one.reported || now - one.since < lasting) {
        return false;
    }
    one.reported = one.current;
    return true;
}

speed_watch::speed_range speed_watch::range(const std::string& endpoint) const {
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? speed_range::usual : found->second.reported;
}

void speed_watch::retain(const std::set<std::string>& endpoints) {
    std::erase_if(endpoints_, [&](const auto& one) { return !endpoints.contains(one.first); });
}

const char* to_string(speed_watch::speed_range range) {
    switch (range) {
    case speed_watch::speed_range::slow:
        return "slow";
    case speed_watch::speed_range::fast:
        return "fast";
    case speed_watch::speed_range::usual:
        break;
    }
    return "usual";
}

} // namespace boragefront::capacity
