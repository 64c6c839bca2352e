#include "balancing/entry_group.hpp"

#include "base/hash.hpp"

namespace boragefront::balancing {

std::size_t entry_group::rank(std::string_view key) const {
    const auto own_score = rendezvous_score(key, self);
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const std::string& other) {
            return other != self && rendezvous_score(key, other) > own_score;
        }));
}

} // namespace boragefront::balancing
