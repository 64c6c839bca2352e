/// \file
/// A copy of one part of the published key space that never goes back behind what it has seen.
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

/// One key, as written or as removed.
struct published_item {
    std::string key;
    revision mod_revision{0};
    std::optional<std::string> value; ///< nothing: removed
};

/// Changes from one replica to another.
struct replica_delta {
    /// All keys, rather than the changes since the asked revision. Those that have not changed
    /// since come without their values, as the asker holds them.
    bool is_full{false};
    revision through{0};
    std::vector<published_item> items;
};

/// Keys with their newest values, complete through one revision of the platform's single counter.
/// Changes merge by the highest revision per key, in any order and any number of times, so a late
/// reader, a stale answer or a peer that lags cannot revert anything.
class replica {
public:
    /// Takes in changes up to `through`.
    /// \returns whether anything is new.
    bool apply_changes(const std::vector<published_item>& items, revision through, time_point now);

    /// Takes in the answer to a watch. One without changes moves nothing: a watch may be cut off
    /// from its changes, as while history is compacted, and what it missed then stays behind
    /// `through`, where the next watch finds it or learns that it is gone.
    bool apply_watch_response(const std::vector<published_item>& items, revision through, time_point now);

    /// Takes in a full listing: keys that are missing from it and not newer are removed.
    /// \param as_of the revision as of which a missing key is known to be gone.
    bool apply_listing(const std::vector<published_item>& items, revision as_of, time_point now);

    /// Takes in what another replica sent.
    bool apply_delta(const replica_delta& delta, time_point now);

    /// What a replica that is complete through `since` lacks; everything if too much of the
    /// history since then is forgotten.
    replica_delta changes_since(revision since) const;

    revision through() const { return through_; }

    struct stored_item {
        revision mod_revision{0};
        std::optional<std::string> value;
        time_point changed_at{}; ///< when this process learned it
    };
    const std::map<std::string, stored_item, std::less<>>& items() const { return items_; }

    /// Forgets removals that were learned before `horizon`.
    void purge_tombstones(time_point horizon);

private:
    bool merge(const published_item& item, time_point now);

    std::map<std::string, stored_item, std::less<>> items_;
    revision through_{0};
    revision forgotten_through_{0}; ///< removals up to here may be missing from `items_`
};

} // namespace boragefront::catalog
