/// \file
/// The published keys that a process holds, merged by the highest revision per key.
#pragma once

#include "base/ids.hpp"
#include "config/parse.hpp"
#include "config/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::config {

/// One revision of one key, as published.
struct published_entry {
    std::string key;
    revision number{0};
    bool deleted{false};
    std::string value{}; ///< JSON; empty if deleted
    auto operator<=>(const published_entry&) const = default;
};

/// What became of an entry that was offered to the store.
enum class merge_outcome : std::uint8_t {
    accepted, ///< in force now
    refused,  ///< newer than what was held, but invalid: the last good value stays in force
    ignored,  ///< not newer than what is held
};

/// The revisions held of one key.
struct held_revisions {
    std::string key;
    revision newest{0}; ///< valid or not
    revision good{0};   ///< in force; 0 if none
    auto operator<=>(const held_revisions&) const = default;
};

/// Two registers for each key: the newest entry, and the newest valid one, which is in force.
/// Merging is commutative, associative and idempotent, so entries may arrive late, twice and in any
/// order. An invalid entry is kept and passed on, so that all processes come to hold the same.
class config_store {
public:
    /// Takes an entry if it is newer than what is held. An entry of revision 0 is ignored.
    merge_outcome merge(published_entry offered);

    /// The highest revision held, valid or not; never falls.
    revision highest() const { return highest_; }

    bool empty() const { return slots_.empty(); }
    std::size_t size() const { return slots_.size(); }

    /// What is held of each key, ordered by key.
    std::vector<held_revisions> revisions() const;

    /// The entries held of a key: the one in force, then the newest if that is another.
    std::vector<published_entry> entries_of(std::string_view key) const;

    /// The values in force. A service or pool whose references cannot be resolved is left out and
    /// listed among the refused.
    snapshot build_snapshot() const;

private:
    struct slot {
        published_entry newest;
        std::optional<error> newest_fault;   ///< why the newest entry is not in force
        std::optional<published_entry> good; ///< the entry in force
        std::optional<typed_value> value;    ///< of `good`, unless that is a tombstone
    };
    std::map<std::string, slot, std::less<>> slots_;
    revision highest_{0};
};

} // namespace boragefront::config
