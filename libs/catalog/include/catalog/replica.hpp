/// \file
/// A local copy of one prefix of the published key space. Its contents never revert to an older
/// position.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "catalog/store_position.hpp"

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
    store_position position;
    std::optional<std::string> value; ///< empty: the key was removed
};

/// Changes from one replica to another.
struct replica_delta {
    /// Whether `items` lists all keys rather than only the changes since the requested position.
    /// Unchanged keys then have no value, as the requester already has it.
    bool is_full{false};
    store_position through;
    std::vector<published_item> items;

    /// Size of the keys and values, in bytes.
    std::size_t bytes() const;
};

/// The latest value of each key, complete through one position of the store's history. Changes
/// merge by the highest position per key, in any order and any number of times, so a late read, a
/// stale answer or a lagging peer cannot revert anything. Answers of an earlier era change nothing.
///
/// What a new era does not list yet is not gone, because its owner writes it again. Such a key
/// keeps its value, unconfirmed, until it is written or `expire_unconfirmed` removes it.
class replica {
public:
    /// Applies changes through the position `through`.
    /// \returns whether any item was newer than the stored one.
    bool apply_changes(const std::vector<published_item>& items, store_position through,
                       time_point now);

    /// Applies the response to a watch. An empty response does not advance `through()`: a watch can
    /// miss changes, for example while the history is compacted. The next watch then starts at the
    /// same position and receives them or learns that they were compacted. A response of another
    /// era is not applied, because it lacks what lies between.
    bool apply_watch_response(const std::vector<published_item>& items, store_position through,
                              time_point now);

    /// Applies a full listing. Removes keys that are missing from it unless they are newer or of an
    /// earlier era.
    /// \param as_of the position as of which a missing key is known to be removed.
    bool apply_listing(const std::vector<published_item>& items, store_position as_of,
                       time_point now);

    /// Applies a delta from another replica.
    bool apply_delta(const replica_delta& delta, time_point now);

    /// The changes after `since`, or all keys if tombstones after `since` may have been purged.
    replica_delta changes_since(store_position since) const;

    /// The same for a requester that knows no eras and compares bare revisions.
    replica_delta changes_since_revision(revision since) const;

    store_position through() const { return through_; }

    /// Number of keys that the current era has neither listed nor removed yet.
    std::size_t unconfirmed() const;

    /// Removes the unconfirmed keys if this process has known the current era for `grace`.
    /// \returns the removed keys.
    std::vector<std::string> expire_unconfirmed(time_point now, milliseconds grace);

    struct stored_item {
        store_position position;
        std::optional<std::string> value;
        time_point changed_at{}; ///< when this process learned of the change
    };
    const std::map<std::string, stored_item, std::less<>>& items() const { return items_; }

    /// Purges the tombstones of removals that this process learned of before `horizon`.
    void purge_tombstones(time_point horizon);

private:
    bool merge(const published_item& item, time_point now);
    void advance(store_position through, time_point now);
    bool is_unconfirmed(const stored_item& stored) const {
        return stored.value && stored.position.era < through_.era;
    }
    template <class IsNewer>
    replica_delta make_delta(bool is_full, IsNewer is_newer) const;

    std::map<std::string, stored_item, std::less<>> items_;
    store_position through_;
    store_position purged_through_; ///< `items_` may lack tombstones up to this position
    time_point era_began_{};        ///< when this process learned of the current era
};

} // namespace boragefront::catalog
