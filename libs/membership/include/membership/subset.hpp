/// \file
/// Rendezvous ranking of instances, and what follows from it without talk between processes: the
/// sidecars that an entry keeps in touch with, and the home of an idempotency key.
#pragma once

#include "config/types.hpp"
#include "membership/instance.hpp"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::membership {

/// How many sidecars of each pool an entry keeps in touch with.
struct subset_sizes {
    unsigned local{6};  ///< in the entry's own data centre
    unsigned remote{4}; ///< in the others; fills up what the own data centre lacks as well
};

/// Whose subset is asked for.
struct subset_query {
    std::string entry;       ///< id of the entry
    std::string data_centre; ///< of the entry
    subset_sizes sizes{};
    /// Pools that are taken whole, as those of services that are not idempotent: any of their
    /// sidecars may be the home of a key.
    std::set<std::string, std::less<>> unsubsetted_pools{};
};

/// Orders instances by their rendezvous score for `key`, the highest first.
std::vector<instance> ranked_by_rendezvous(std::string_view key, std::vector<instance> candidates);

/// The sidecars that an entry keeps in touch with, ordered by id. A change of one instance changes
/// at most one place of a pool's subset. Leaving sidecars take only places that live ones leave.
std::vector<instance> select_subset(const instance_list& all, const subset_query& query);

/// The sidecars of one pool, leaving ones included, ordered by id.
std::vector<instance> sidecars_of_pool(const instance_list& all, std::string_view pool);

/// The sidecars that may be the home of a new key: those that neither the platform says to leave
/// nor operators took out. Published knowledge only, so that all processes come to agree.
instance_list sidecars_in_service(const instance_list& all, const config::snapshot& configuration);

/// The home of an idempotency key: the sidecar of the pool that scores highest, live or leaving.
/// Own evidence of health has no part in it, so that all entries with the same list agree.
/// \returns null if the pool has no sidecar; else a pointer into `all`.
const instance* home_of(const instance_list& all, std::string_view pool, std::string_view key);

} // namespace boragefront::membership
