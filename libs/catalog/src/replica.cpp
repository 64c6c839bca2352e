#include "catalog/replica.hpp"

#include <algorithm>
#include <set>

namespace boragefront::catalog {

bool replica::merge(const published_item& item, time_point now) {
    auto& stored = items_[item.key];
    if (item.mod_revision <= stored.mod_revision) {
        return false;
    }
    stored = stored_item{item.mod_revision, item.value, now};
    return true;
}

bool replica::apply_changes(const std::vector<published_item>& items, revision through,
                            time_point now) {
    bool changed = false;
    for (const auto& item : items) {
        changed = merge(item, now) || changed;
    }
    through_ = std::max(through_, through);
    return changed;
}

bool replica::apply_watch_response(const std::vector<published_item>& items, revision through,
                                   time_point now) {
    return !items.empty() && apply_changes(items, through, now);
}

bool replica::apply_listing(const std::vector<published_item>& items, revision as_of,
                            time_point now) {
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
        if (stored.value && stored.mod_revision <= as_of && !listed.contains(key)) {
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

replica_delta replica::changes_since(revision since) const {
    replica_delta delta;
    delta.is_full = since < purged_through_ || since == 0;
    delta.through = through_;
    for (const auto& [key, stored] : items_) {
        if (stored.mod_revision > since && (stored.value || !delta.is_full)) {
            delta.items.push_back({key, stored.mod_revision, stored.value});
        } else if (stored.value && delta.is_full) {
            delta.items.push_back({key, stored.mod_revision, std::nullopt});
        }
    }
    return delta;
}

void replica::purge_tombstones(time_point horizon) {
    std::erase_if(items_, [&](const auto& one) {
        const auto& stored = one.second;
        const bool purge = !stored.value && stored.changed_at < horizon;
        if (purge) {
            purged_through_ = std::max(purged_through_, stored.mod_revision);
        }
        return purge;
    });
}

} // namespace boragefront::catalog
