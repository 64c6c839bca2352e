/// \file
/// Since when this sidecar has been the home of idempotency keys.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance.hpp"

#include <deque>
#include <functional>
#include <set>
#include <string>

namespace boragefront::sidecar {

using sidecar_ids = std::set<std::string, std::less<>>;

struct home_policy {
    milliseconds list_lag{5'000}; ///< other processes may act on an instance list this old
    bool enabled{true};           ///< false only in tests: every key is at home
};

/// The members of this sidecar's pool over time. A key is vouched for if this sidecar was its home
/// by every list that any process may have acted on since the key was made.
class home_history {
public:
    home_history(home_policy policy, std::string self, std::string pool)
        : policy_{policy}, self_{std::move(self)}, pool_{std::move(pool)} {}

    /// The instance list as it is known from now on.
    void note_list(const membership::instance_list& list, wall_time now);

    /// What is known changed; an earlier change may have been overwritten before it came here.
    void note_gap(wall_time now) { gap_at_ = now; }

    /// The whole instance list, those out of service included.
    void note_pool(const membership::instance_list& list);

    /// Whether no other sidecar can have been given a key since `made`, or will run it.
    /// \param released_by the sidecars that gave the key up.
    bool vouches_for(const std::string& key_id, wall_time made,
                     const sidecar_ids& released_by = {}) const;

    /// The other sidecars that can have been given a key since `made`: once all of them have given
    /// it up, it is vouched for.
    sidecar_ids other_homes(const std::string& key_id, wall_time made) const;

private:
    struct period {
        wall_time since;
        membership::instance_list members; ///< of the pool, ordered by id
    };
    bool begins_after(wall_time when) const;
    void add_home(const membership::instance_list& members, const std::string& key_id,
                  sidecar_ids& homes) const;

    home_policy policy_;
    std::string self_;
    std::string pool_;
    wall_time gap_at_{};
    sidecar_ids pool_members_;     ///< in service or not, this one included
    std::deque<period> periods_;   ///< oldest first
    wall_time forgotten_before_{}; ///< nothing is known of lists before this
};

} // namespace boragefront::sidecar
