#include "balancing/reachability.hpp"

namespace boragefront::balancing {
namespace {

// So many endpoints in a row are hardly down by chance while another of the data centre answers.
constexpr std::size_t endpoints_until_cut_off = 3;
constexpr milliseconds try_interval{300}; // of a data centre that is avoided
constexpr milliseconds forgotten_after{2'000};

} // namespace

bool reachability::is_unreachable(const failing& one, time_point now) {
    return one.endpoints.size() >= endpoints_until_cut_off &&
           now - one.last_failure < forgotten_after;
}

void reachability::record_unreachable(std::string_view data_centre, std::string_view endpoint,
                                    time_point now) {
    auto& one = failing_[std::string{data_centre}];
    if (now - one.last_failure >= forgotten_after) {
        one.endpoints.clear();
    }
    one.endpoints.emplace(endpoint);
    one.last_failure = now;
    one.next_try = now + try_interval;
}

void reachability::record_reached(std::string_view data_centre) {
    if (const auto found = failing_.find(data_centre); found != failing_.end()) {
        failing_.erase(found);
    }
}

std::set<std::string, std::less<>> reachability::avoided_data_centres(time_point now) {
    std::set<std::string, std::less<>> all;
    for (auto& [data_centre, one] : failing_) {
        if (!is_unreachable(one, now)) {
            continue;
        }
        if (now >= one.next_try) {
            one.next_try = now + try_interval;
        } else {
            all.insert(data_centre);
        }
    }
    return all;
}

bool reachability::is_unreachable(std::string_view data_centre, time_point now) const {
    const auto found = failing_.find(data_centre);
    return found != failing_.end() && is_unreachable(found->second, now);
}

} // namespace boragefront::balancing
