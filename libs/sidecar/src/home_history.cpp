/// \file
/// Implementation of the history of homes.
#include "home_history.hpp"

#include "membership/subset.hpp"

#include <algorithm>

namespace boragefront::sidecar {
namespace {

constexpr std::size_t most_periods = 64;

bool same_ids(const membership::instance_list& left, const membership::instance_list& right) {
    return std::equal(left.instances.begin(), left.instances.end(), right.instances.begin(),
                      right.instances.end(),
                      [](const auto& one, const auto& other) { return one.id == other.id; });
}

} // namespace

void home_history::note_list(const membership::instance_list& list, wall_time now) {
    membership::instance_list members;
    members.instances = membership::sidecars_of_pool(list, pool_);
    if (!periods_.empty() && same_ids(periods_.back().members, members)) {
        return;
    }
    periods_.push_back({now, std::move(members)});
    if (periods_.size() > most_periods) {
        periods_.pop_front();
        forgotten_before_ = periods_.front().since;
    }
}

void home_history::note_pool(const membership::instance_list& list) {
    pool_members_.clear();
    for (const auto& member : membership::sidecars_of_pool(list, pool_)) {
        pool_members_.insert(member.id);
    }
}

bool home_history::vouches_for(const std::string& key_id, wall_time made,
                               const sidecar_ids& released_by) const {
    if (!policy_.enabled) {
        return true;
    }
    // Without a list it cannot know the others.
    if (periods_.empty() || made - policy_.list_lag < forgotten_before_) {
        return false;
    }
    const auto others = other_homes(key_id, made);
    return std::includes(released_by.begin(), released_by.end(), others.begin(), others.end());
}

sidecar_ids home_history::other_homes(const std::string& key_id, wall_time made) const {
    sidecar_ids homes;
    // A process may have acted on the list of a period until its lag after the period's end.
    const auto oldest_list = made - policy_.list_lag;
    for (std::size_t i = 0; i < periods_.size(); ++i) {
        const bool over = i + 1 < periods_.size() && periods_[i + 1].since < oldest_list;
        if (!over) {
            add_home(periods_[i].members, key_id, homes);
        }
    }
    if (begins_after(oldest_list)) {
        // By a list from before this record, or one that never came here, any of them may have been
        // the home.
        homes.insert(pool_members_.begin(), pool_members_.end());
        homes.erase(self_);
    }
    return homes;
}

bool home_history::begins_after(wall_time when) const {
    return !periods_.empty() && when < std::max(gap_at_, periods_.front().since);
}

// Without any sidecar on the list no other one can have been chosen.
void home_history::add_home(const membership::instance_list& members, const std::string& key_id,
                            sidecar_ids& homes) const {
    const auto* home = membership::home_of(members, pool_, key_id);
    if (home != nullptr && home->id != self_) {
        homes.insert(home->id);
    }
}

} // namespace boragefront::sidecar
