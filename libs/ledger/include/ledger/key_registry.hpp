/// \file
/// The record of idempotency keys used at a sidecar, from which it can tell whether a key's work
/// ran.
#pragma once

#include "base/ids.hpp"
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace boragefront::ledger {

struct key_policy {
    milliseconds clock_skew{1'000}; ///< tolerated between the clocks of callers and instances
    std::size_t max_keys{20'000};   ///< beyond which the oldest keys are evicted
    seconds retention{3'600};
    bool record_keys{true}; ///< false only in tests: no keys are recorded
    bool check_age{true};   ///< false only in tests: keys older than the record count as unused
};

/// The key has not been used; any earlier use would be on record.
struct unused_key {};

/// The key was first used by this work, with this body.
struct used_key {
    work_id first;
    std::uint64_t body_hash{0};
    bool released{false}; ///< did not and will not run here; another instance may run it
};

/// The key may have been used before this record begins, or its use may have been evicted.
struct unverifiable_key {};

/// The timestamp of the key is ahead of the local clock by more than the tolerated skew.
struct future_key {};

using key_state = std::variant<unused_key, used_key, unverifiable_key, future_key>;

/// Used keys, ordered by their UUIDv7 timestamps. The record is complete for keys newer than a
/// horizon: no use of such a key can predate the record or have been evicted from it.
class key_registry {
public:
    /// \param since start of the record; the use of earlier keys cannot be verified.
    key_registry(key_policy policy, wall_time since);

    /// The state of a key.
    /// \param key_id the UUIDv7 in `key`. \pre `key_id` is a valid UUIDv7.
    key_state find(const std::string& key, const std::string& key_id, wall_time now) const;

    /// Whether the first use of a key is on record.
    bool contains(const std::string& key) const { return uses_.contains(key); }

    /// Records the first use of a key. \pre `find` returns `unused_key`.
    void add(const std::string& key, const std::string& key_id, used_key use);

    /// Removes a key whose work did not run, so that it can be used again.
    void remove(const std::string& key);

    /// Evicts keys past their retention and raises the horizon to their timestamps.
    void evict_expired(wall_time now);

    std::size_t size() const { return uses_.size(); }

private:
    struct key_entry {
        used_key use;
        std::multimap<wall_time, std::string>::iterator position;
    };
    void evict_oldest();

    key_policy policy_;
    wall_time horizon_;
    std::unordered_map<std::string, key_entry> uses_;
    std::multimap<wall_time, std::string> by_time_;
};

} // namespace boragefront::ledger
