#include "catalog/replica.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace boragefront::catalog {

std::size_t replica_delta::bytes() const {
    return std::accumulate(items.begin(), items.end(), std::size_t{0},
                           [](std::size_t sum, const published_item& item) {
                               return sum + item.key.size() + (item.value ? item.value->size() : 0);
                           });
}

bool replica::merge(const published_item& item, time_point now) {
    auto& stored = items_[item.key];
    if (item.position <= stored.position) {
        return false;
    }
    // A new era lists old writes again. Their values are relative to when they were learned.
    const bool same_write =
        item.value && item.value == stored.value && item.position.at == stored.position.at;
    stored = stored_item{item.position, item.value, same_write ? stored.changed_at : now};
    return true;
}

void replica::advance(store_position through, time_point now) {
    if (through.era > through_.era) {
        era_began_ = now;
        purged_through_ = std::max(purged_through_, through);
    }
    through_ = std::max(through_, through);
}

bool replica::apply_changes(const std::vector<published_item>& items, store_position through,
                            time_point now) {
    if (through.era < through_.era) {
        return false;
    }
    bool changed = false;
    for (const auto& item : items) {
        changed = merge(item, now) || changed;
    }
    advance(through, now);
    return changed;
}

bool replica::apply_watch_response(const std::vector<published_item>& items, store_position through,
                                   time_point now) {
    return !items.empty() && through.era == through_.era && apply_changes(items, through, now);
}

bool replica::apply_listing(const std::vector<published_item>& items, store_position as_of,
                            time_point now) {
    if (as_of.era < through_.era) {
        return false;
    }
    if (as_of > through_) {
        // A key that was written and removed after `through_` is neither stored nor listed.
        purged_through_ = std::max(purged_through_, as_of);
    }
    std::set<std::string_view> listed;
    for (const auto& item : items) {
        listed.insert(item.key);
    }
    bool changed = false;
    for (auto& [key, stored] : items_) {
        if (stored.value && stored.position <= as_of && stored.position.era == as_of.era &&
            !listed.contains(key)) {
            stored = stored_item{as_of, std::nullopt, now};
            changed = true;
        }
    }
    return apply_changes(items, as_of, now) || changed;
}

bool replica::apply_delta(const replica_delta& delta, time_point now) {
    if (delta.through <= through_) {
        return false;
    }
    return delta.is_full ? apply_listing(delta.items, delta.through, now)
                         : apply_changes(delta.items, delta.through, now);
}

template <class IsNewer>
replica_delta replica::make_delta(bool is_full, IsNewer is_newer) const {
    replica_delta delta;
    delta.is_full = is_full;
    delta.through = through_;
    for (const auto& [key, stored] : items_) {
        if (is_newer(stored) && (stored.value || !is_full)) {
            delta.items.push_back({key, stored.position, stored.value});
        } else if (stored.value && is_full) {
            delta.items.push_back({key, stored.position, std::nullopt});
        }
    }
    return delta;
}

replica_delta replica::changes_since(store_position since) const {
    return make_delta(since < purged_through_ || since == store_position{},
                      [&](const stored_item& stored) { return stored.position > since; });
}

replica_delta replica::changes_since_revision(revision since) const {
    return make_delta(since < purged_through_.at || since == 0,
                      [&](const stored_item& stored) { return stored.position.at > since; });
}

std::size_t replica::unconfirmed() const {
    return static_cast<std::size_t>(std::count_if(
        items_.begin(), items_.end(), [&](const auto& one) { return is_unconfirmed(one.second); }));
}

std::vector<std::string> replica::expire_unconfirmed(time_point now, milliseconds grace) {
    std::vector<std::string> expired;
    if (now - era_began_ < grace) {
        return expired;
    }
    for (auto& [key, stored] : items_) {
        if (is_unconfirmed(stored)) {
            stored = stored_item{through_, std::nullopt, now};
            expired.push_back(key);
        }
    }
    return expired;
}

void replica::purge_tombstones(time_point horizon) {
    std::erase_if(items_, [&](const auto& one) {
        const auto& stored = one.second;
        const bool purge = !stored.value && stored.changed_at < horizon;
        if (purge) {
            purged_through_ = std::max(purged_through_, stored.position);
        }
        return purge;
    });
}

} // namespace boragefront::catalog
