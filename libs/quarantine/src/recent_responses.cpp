#include "quarantine/recent_responses.hpp"

namespace boragefront::quarantine {
namespace {

constexpr std::size_t max_parts = 8'192; // about 1 MB
constexpr std::size_t max_latest = 16;

} // namespace

void recent_responses::record(const std::vector<std::string>& parts, time_point sound_at) {
    latest_.push_front(sound_at);
    if (latest_.size() > max_latest) {
        latest_.pop_back();
    }
    for (const auto& part : parts) {
        if (const auto found = by_part_.find(part); found != by_part_.end()) {
            by_recency_.erase(found->second);
            by_part_.erase(found);
        }
        by_recency_.push_front({part, sound_at});
        by_part_.emplace(part, by_recency_.begin());
        if (by_part_.size() > max_parts) {
            by_part_.erase(by_recency_.back().part);
            by_recency_.pop_back();
        }
    }
}

std::optional<time_point> recent_responses::last(std::string_view part) const {
    const auto found = by_part_.find(part);
    return found == by_part_.end() ? std::nullopt : std::optional{found->second->sound_at};
}

bool recent_responses::any_after(time_point since, std::size_t count) const {
    return count == 0 || (latest_.size() >= count && latest_[count - 1] > since);
}

} // namespace boragefront::quarantine
