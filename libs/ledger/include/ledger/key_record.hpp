/// \file
/// The idempotency keys of which a sidecar can say whether their work ran.
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
    milliseconds clock_skew{1'000}; ///< between the clocks of callers and instances
    std::size_t keys{20'000};       ///< held, after which the oldest are forgotten
    seconds retention{3'600};
    bool remember{true};  ///< false only in tests
    bool check_age{true}; ///< false only in tests: old keys are vouched for
};

/// The key was never used, and no earlier use can be unknown here.
struct unused_key {};

/// The key was used first by this work, with this body.
struct used_key {
    work_id first;
    std::uint64_t body_hash{0};
    bool released{false}; ///< never ran here and never will; another home may run it
};

/// The key may have been used before this record begins.
struct unvouched_key {};

/// The key carries a time ahead of the clock here, beyond the allowed skew.
struct early_key {};

using key_state = std::variant<unused_key, used_key, unvouched_key, early_key>;

/// Keys in order of the time that they carry. The record vouches for keys above a horizon: the
/// moment from which every use of a key must have come here.
class key_record {
public:
    /// \param since keys from before this cannot be vouched for.
    key_record(key_policy policy, wall_time since);

    /// What is known of a key.
    /// \param key_id the UUIDv7 in `key`. \pre it is one.
    key_state find(const std::string& key, const std::string& key_id, wall_time now) const;

    /// Whether the first use of a key is on record.
    bool holds(const std::string& key) const { return uses_.contains(key); }

    /// Records the first use. \pre the key is `unused_key`.
    void add(const std::string& key, const std::string& key_id, used_key use);

    /// Makes a key unused again, as its work never ran.
    void remove(const std::string& key);

    /// Forgets the oldest beyond the bounds; the horizon rises over them.
    void forget_expired(wall_time now);

    std::size_t size() const { return uses_.size(); }

private:
    struct held {
        used_key use;
        std::multimap<wall_time, std::string>::iterator place;
    };
    void forget_oldest();

    key_policy policy_;
    wall_time horizon_;
    std::unordered_map<std::string, held> uses_;
    std::multimap<wall_time, std::string> by_time_;
};

} // namespace boragefront::ledger
