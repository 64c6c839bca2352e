/// \file
/// A local copy of one prefix of the published key space. Its contents never revert to an older
/// revision.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::catalog {

/// One key with its latest write or removal.
struct published_item {
    std::string key;
    revision mod_revision{0};
    std::optional<std::string> value; ///< empty: the key was removed
};

/// Changes from one replica to another.
struct replica_delta {
    /// Whether `items` lists all keys rather than only the changes since the requested revision.
    /// Unchanged keys then have no value, as the requester already has it.
    bool is_full{false};
    revision through{0};
    std::vector<published_item> items;
};

/// The latest value of each key, complete through one revision of the platform's global counter.
/// Changes merge by the highest revision per key, in any order and any number of times, so a late
/// read, a stale answer or a lagging peer cannot revert anything.
class replica {
public:
    /// Applies changes through the revision `through`.
    /// \returns whether any item was newer than the stored one.
    bool apply_changes(const std::vector<published_item>& items, revision through, time_point now);

    /// Applies the response to a watch. An empty response does not advance `through()`: a watch can
    /// miss changes, for example while the history is compacted. The next watch then starts at the
    /// same revision and receives them or learns that they were compacted.
    bool apply_watch_response(const std::vector<published_item>& items, revision through,
                              time_point now);

    /// Applies a full listing. Removes keys that are missing from it unless they are newer.
    /// \param as_of the revision as of which a missing key is known to be removed.
    bool apply_listing(const std::vector<published_item>& items, revision as_of, time_point now);

    /// Applies a delta from another replica.
    bool apply_delta(const replica_delta& delta, time_point now);

    /// The changes after `since`, or all keys if tombstones after `since` may have been purged.
    replica_delta changes_since(revision since) const;

    revision through() const { return through_; }

    struct stored_item {
        revision mod_revision{0};
        std::optional<std::string> value;
        time_point changed_at{}; ///< when this process learned of the change
    };
    const std::map<std::string, stored_item, std::less<>>& items() const { return items_; }

    /// Purges the tombstones of removals that this process learned of before `horizon`.
    void purge_tombstones(time_point horizon);

private:
    bool merge(const published_item& item, time_point now);

    std::map<std::string, stored_item, std::less<>> items_;
    revision through_{0};
    revision purged_through_{0}; ///< `items_` may lack tombstones up to this revision
};

} // namespace boragefront::catalog
