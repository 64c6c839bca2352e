/// \file
/// Rendezvous hashing of instances. From the same list all processes derive, without coordination,
/// the subset of sidecars that an entry contacts and the home of an idempotency key.
#pragma once

#include "config/types.hpp"
#include "membership/instance.hpp"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::membership {

/// Number of sidecars of each pool that an entry contacts.
struct subset_sizes {
    unsigned local{6};  ///< in the entry's own data centre
    unsigned remote{4}; ///< in the others; also makes up for a shortage in the local data centre
};

/// Parameters of `select_subset`.
struct subset_query {
    std::string entry;       ///< id of the entry
    std::string data_centre; ///< data centre of the entry
    subset_sizes sizes{};
    /// Pools whose sidecars are all selected, such as those of services that are not idempotent:
    /// any of their sidecars may be the home of a key.
    std::set<std::string, std::less<>> unsubsetted_pools{};
};

/// Sorts instances by their rendezvous score for `key`, highest first.
std::vector<instance> ranked_by_rendezvous(std::string_view key, std::vector<instance> candidates);

/// The sidecars that an entry contacts, ordered by id. Adding or removing one instance changes at
/// most one member of a pool's subset. Leaving sidecars are selected only if there are too few live
/// ones.
std::vector<instance> select_subset(const instance_list& all, const subset_query& query);

/// The sidecars of one pool, including leaving ones, ordered by id.
std::vector<instance> sidecars_of_pool(const instance_list& all, std::string_view pool);

/// The sidecars that may be the home of a new key: those that are live on the platform and that
/// operators have not taken out of service. Uses published state only, so that all processes
/// converge on the same result.
instance_list sidecars_in_service(const instance_list& all, const config::snapshot& configuration);

/// The home of an idempotency key: the sidecar of the pool with the highest rendezvous score, live
/// or leaving. Ignores locally detected failures, so that all entries with the same list agree.
/// \returns a pointer into `all`, or null if the pool has no sidecar.
const instance* home_of(const instance_list& all, std::string_view pool, std::string_view key);

} // namespace boragefront::membership
