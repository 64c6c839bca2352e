#include "balancing/prompt_locations.hpp"

namespace boragefront::balancing {
namespace {

constexpr std::size_t max_prompts = 8'192; // about 1 MB
constexpr seconds retention{30};           // engines evict prompts that have not been used recently

} // namespace

void prompt_locations::record(std::string_view prompt, const std::string& endpoint,
                              time_point now) {
    const auto found = by_prompt_.find(prompt);
    if (found != by_prompt_.end()) {
        by_recency_.erase(found->second);
        by_prompt_.erase(found);
    }
    by_recency_.push_front({std::string{prompt}, endpoint, now});
    by_prompt_.emplace(std::string{prompt}, by_recency_.begin());
    if (by_prompt_.size() > max_prompts) {
        by_prompt_.erase(by_recency_.back().prompt);
        by_recency_.pop_back();
    }
}

std::optional<std::string> prompt_locations::find(std::string_view prompt, time_point now) const {
    const auto found = by_prompt_.find(prompt);
    if (found == by_prompt_.end() || now - found->second->processed_at > retention) {
        return std::nullopt;
    }
    return found->second->endpoint;
}

} // namespace boragefront::balancing
