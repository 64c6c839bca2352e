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

bool home_history::vouches_for(const std::string& key_id, wall_time made,
                               const std::string& released_by) const {
    if (!policy_.enabled) {
        return true;
    }
    // A process may have acted on the list of a period until its lag after the period's end.
    const auto oldest_list = made - policy_.list_lag;
    if (released_by.empty() && begins_after(oldest_list)) {
        return false;
    }
    if (oldest_list < forgotten_before_) {
        return false;
    }
    for (std::size_t i = 0; i < periods_.size(); ++i) {
        const bool over = i + 1 < periods_.size() && periods_[i + 1].since < oldest_list;
        if (!over && !is_home_in(periods_[i].members, key_id, released_by)) {
            return false;
        }
    }
    return true;
}

// A process may have acted on a list from before this record, by which another was the home.
bool home_history::begins_after(wall_time when) const {
    return !periods_.empty() && periods_.front().members.instances.size() > 1 &&
           when < periods_.front().since;
}

// Without any sidecar on the list no other one can have been chosen.
bool home_history::is_home_in(const membership::instance_list& members, const std::string& key_id,
                              const std::string& released_by) const {
    const auto* home = membership::home_of(members, pool_, key_id);
    return home == nullptr || home->id == self_ || home->id == released_by;
}

} // namespace boragefront::sidecar
