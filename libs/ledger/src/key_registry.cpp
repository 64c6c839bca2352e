/// \file
#include "ledger/key_registry.hpp"

#include <algorithm>

namespace boragefront::ledger {

key_registry::key_registry(key_policy policy, wall_time since)
    : policy_{policy}, horizon_{since + policy.clock_skew} {}

key_state key_registry::find(const std::string& key, const std::string& key_id,
                             wall_time now) const {
    const auto found = uses_.find(key);
    if (found != uses_.end()) {
        return found->second.use;
    }
    const auto timestamp = uuid7_time(key_id).value_or(wall_time{});
    if (timestamp > now + policy_.clock_skew) {
        return future_key{};
    }
    if (policy_.check_age && timestamp <= horizon_) {
        return unverifiable_key{};
    }
    return unused_key{};
}

void key_registry::add(const std::string& key, const std::string& key_id, used_key use) {
    if (!policy_.record_keys) {
        return;
    }
    const auto timestamp = uuid7_time(key_id).value_or(wall_time{});
    const auto position = by_time_.emplace(timestamp, key);
    uses_.insert_or_assign(key, key_entry{std::move(use), position});
    if (uses_.size() > policy_.max_keys) {
        evict_oldest();
    }
}

void key_registry::remove(const std::string& key) {
    const auto found = uses_.find(key);
    if (found != uses_.end()) {
        by_time_.erase(found->second.position);
        uses_.erase(found);
    }
}

void key_registry::evict_expired(wall_time now) {
    while (!by_time_.empty() && by_time_.begin()->first + policy_.retention <= now) {
        evict_oldest();
    }
}

void key_registry::evict_oldest() {
    const auto oldest = by_time_.begin();
    horizon_ = std::max(horizon_, oldest->first);
    uses_.erase(oldest->second);
    by_time_.erase(oldest);
}

} // namespace boragefront::ledger
