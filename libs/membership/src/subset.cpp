/// \file
#include "membership/subset.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <utility>

namespace boragefront::membership {
namespace {

using instance_vector = std::vector<instance>;

bool by_id(const instance& left, const instance& right) {
    return left.id < right.id;
}

void append_first(const instance_vector& from, std::size_t count, instance_vector& to) {
    const auto taken = std::min(count, from.size());
    std::copy_n(from.begin(), taken, std::back_inserter(to));
}

// Live instances in rendezvous order, followed by leaving ones in rendezvous order.
instance_vector ranked_live_first(std::string_view key, instance_vector candidates) {
    auto ranked = ranked_by_rendezvous(key, std::move(candidates));
    std::stable_partition(ranked.begin(), ranked.end(), [](const instance& candidate) {
        return candidate.state == instance_state::live;
    });
    return ranked;
}

instance_vector select_from_pool(instance_vector pool, const subset_query& query) {
    const auto split =
        std::stable_partition(pool.begin(), pool.end(), [&](const instance& candidate) {
            return candidate.data_centre == query.data_centre;
        });
    const auto local = ranked_live_first(query.entry, instance_vector{pool.begin(), split});
    const auto remote = ranked_live_first(query.entry, instance_vector{split, pool.end()});
    instance_vector taken;
    append_first(local, query.sizes.local, taken);
    const std::size_t total = query.sizes.local + query.sizes.remote;
    append_first(remote, total - taken.size(), taken);
    return taken;
}

} // namespace

instance_vector ranked_by_rendezvous(std::string_view key, instance_vector candidates) {
    using scored = std::pair<std::uint64_t, instance>;
    std::vector<scored> scores;
    scores.reserve(candidates.size());
    for (auto& candidate : candidates) {
        const auto score = rendezvous_score(key, candidate.id);
        scores.emplace_back(score, std::move(candidate));
    }
    std::sort(scores.begin(), scores.end(), [](const scored& left, const scored& right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second.id < right.second.id;
    });
    instance_vector ranked;
    ranked.reserve(scores.size());
    for (auto& [score, candidate] : scores) {
        ranked.push_back(std::move(candidate));
    }
    return ranked;
}

instance_vector select_subset(const instance_list& all, const subset_query& query) {
    std::map<std::string, instance_vector, std::less<>> pools;
    for (const auto& candidate : all.instances) {
        if (candidate.role == instance_role::sidecar) {
            pools[candidate.pool].push_back(candidate);
        }
    }
    instance_vector subset;
    for (auto& [name, members] : pools) {
        const bool take_all = query.unsubsetted_pools.contains(name);
        auto taken = take_all ? std::move(members) : select_from_pool(std::move(members), query);
        std::move(taken.begin(), taken.end(), std::back_inserter(subset));
    }
    std::sort(subset.begin(), subset.end(), by_id);
    return subset;
}

instance_vector sidecars_of_pool(const instance_list& all, std::string_view pool) {
    instance_vector members;
    for (const auto& candidate : all.instances) {
        if (candidate.role == instance_role::sidecar && candidate.pool == pool) {
            members.push_back(candidate);
        }
    }
    std::sort(members.begin(), members.end(), by_id);
    return members;
}

instance_list sidecars_in_service(const instance_list& all, const config::snapshot& configuration) {
    instance_list in_service;
    for (const auto& candidate : all.instances) {
        const bool live = candidate.state == instance_state::live;
        const bool admitted = configuration.is_in(candidate.data_centre, candidate.id);
        if (candidate.role == instance_role::sidecar && live && admitted) {
            in_service.instances.push_back(candidate);
        }
    }
    return in_service;
}

const instance* home_of(const instance_list& all, std::string_view pool, std::string_view key) {
    const instance* home = nullptr;
    std::uint64_t best = 0;
    for (const auto& candidate : all.instances) {
        if (candidate.role != instance_role::sidecar || candidate.pool != pool) {
            continue;
        }
        const auto score = rendezvous_score(key, candidate.id);
        const bool tie_won = score == best && home != nullptr && candidate.id < home->id;
        if (home == nullptr || score > best || tie_won) {
            home = &candidate;
            best = score;
        }
    }
    return home;
}

} // namespace boragefront::membership
