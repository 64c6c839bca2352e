#include "balancing/reachability.hpp"

namespace boragefront::balancing {
namespace {

// This many endpoints in a row are unlikely to be down while others of the data centre answer.
constexpr std::size_t unreachable_threshold = 3;
constexpr milliseconds probe_interval{300};
constexpr milliseconds failure_lifetime{2'000};

} // namespace

bool reachability::is_unreachable(const failure_record& record, time_point now) {
    return record.endpoints.size() >= unreachable_threshold &&
           now - record.last_failure < failure_lifetime;
}

void reachability::record_unreachable(std::string_view data_centre, std::string_view endpoint,
                                      time_point now) {
    auto& record = failures_[std::string{data_centre}];
    if (now - record.last_failure >= failure_lifetime) {
        record.endpoints.clear();
    }
    record.endpoints.emplace(endpoint);
    record.last_failure = now;
    record.next_probe = now + probe_interval;
}

void reachability::record_reached(std::string_view data_centre) {
    if (const auto found = failures_.find(data_centre); found != failures_.end()) {
        failures_.erase(found);
    }
}

std::set<std::string, std::less<>> reachability::avoided_data_centres(time_point now) {
    std::set<std::string, std::less<>> all;
    for (auto& [data_centre, record] : failures_) {
        if (!is_unreachable(record, now)) {
            continue;
        }
        if (now >= record.next_probe) {
            record.next_probe = now + probe_interval;
        } else {
            all.insert(data_centre);
        }
    }
    return all;
}

bool reachability::is_unreachable(std::string_view data_centre, time_point now) const {
    const auto found = failures_.find(data_centre);
    return found != failures_.end() && is_unreachable(found->second, now);
}

} // namespace boragefront::balancing
