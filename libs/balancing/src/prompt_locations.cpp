#include "balancing/prompt_locations.hpp"

namespace boragefront::balancing {
namespace {

constexpr std::size_t most_prompts = 8'192; // about a megabyte
constexpr seconds remembered_for{30};       // engines evict what has not been used for long

} // namespace

void prompt_locations::record(std::string_view prompt, const std::string& endpoint, time_point now) {
    const auto found = by_prompt_.find(prompt);
    if (found != by_prompt_.end()) {
        newest_first_.erase(found->second);
        by_prompt_.erase(found);
    }
    newest_first_.push_front({std::string{prompt}, endpoint, now});
    by_prompt_.emplace(std::string{prompt}, newest_first_.begin());
    if (by_prompt_.size() > most_prompts) {
        by_prompt_.erase(newest_first_.back().prompt);
        newest_first_.pop_back();
    }
}

std::optional<std::string> prompt_locations::find(std::string_view prompt, time_point now) const {
    const auto found = by_prompt_.find(prompt);
    if (found == by_prompt_.end() || now - found->second->read_at > remembered_for) {
        return std::nullopt;
    }
    return found->second->endpoint;
}

} // namespace boragefront::balancing
