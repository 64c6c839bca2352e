/// \file
/// Since when this sidecar has been the home of idempotency keys.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"
#include "membership/instance.hpp"

#include <deque>
#include <string>

namespace boragefront::sidecar {

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

    /// Whether no other sidecar can have been given a key since `made`, or will run it.
    /// \param released_by another sidecar that gave the key up; may be empty.
    bool vouches_for(const std::string& key_id, wall_time made,
                     const std::string& released_by = {}) const;

private:
    struct period {
        wall_time since;
        membership::instance_list members; ///< of the pool, ordered by id
    };
    bool begins_after(wall_time when) const;
    bool is_home_in(const membership::instance_list& members, const std::string& key_id,
                    const std::string& released_by) const;

    home_policy policy_;
    std::string self_;
    std::string pool_;
    std::deque<period> periods_;   ///< oldest first
    wall_time forgotten_before_{}; ///< nothing is known of lists before this
};

} // namespace boragefront::sidecar
