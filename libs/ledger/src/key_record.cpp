/// \file
/// Implementation of the record of idempotency keys.
#include "ledger/key_record.hpp"

#include <algorithm>

namespace boragefront::ledger {

key_record::key_record(key_policy policy, wall_time since)
    : policy_{policy}, horizon_{since + policy.clock_skew} {}

key_state key_record::find(const std::string& key, const std::string& key_id, wall_time now) const {
    const auto found = uses_.find(key);
    if (found != uses_.end()) {
        return found->second.use;
    }
    const auto time = uuid7_time(key_id).value_or(wall_time{});
    if (time > now + policy_.clock_skew) {
        return early_key{};
    }
    if (policy_.check_age && time <= horizon_) {
        return unvouched_key{};
    }
    return unused_key{};
}

void key_record::add(const std::string& key, const std::string& key_id, used_key use) {
    if (!policy_.remember) {
        return;
    }
    const auto time = uuid7_time(key_id).value_or(wall_time{});
    const auto place = by_time_.emplace(time, key);
    uses_.insert_or_assign(key, held{std::move(use), place});
    if (uses_.size() > policy_.keys) {
        forget_oldest();
    }
}

void key_record::remove(const std::string& key) {
    const auto found = uses_.find(key);
    if (found != uses_.end()) {
        by_time_.erase(found->second.place);
        uses_.erase(found);
    }
}

void key_record::forget_expired(wall_time now) {
    while (!by_time_.empty() && by_time_.begin()->first + policy_.retention <= now) {
        forget_oldest();
    }
}

void key_record::forget_oldest() {
    const auto oldest = by_time_.begin();
    horizon_ = std::max(horizon_, oldest->first);
    uses_.erase(oldest->second);
    by_time_.erase(oldest);
}

} // namespace boragefront::ledger
