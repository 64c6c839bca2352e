/// \file
/// The record of all work submitted to a sidecar. It ensures that work runs at most once and that
/// refused work never runs later.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "ledger/key_registry.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace boragefront::ledger {

/// A complete answer of an endpoint.
struct answer {
    std::string content_type;
    std::string body;
    microseconds service_time{0}; ///< time spent at the endpoint
};

/// The outcome of completed or refused work.
using outcome = std::variant<answer, error>;

/// Readings of both clocks at one moment. Wall-clock time is only compared with the timestamps in
/// work identities and idempotency keys.
struct clock_reading {
    time_point steady;
    wall_time wall;
};

enum class work_state : std::uint8_t {
    admitted, ///< queued for dispatch
    running,  ///< sent to the endpoint
    finished, ///< the outcome is recorded, possibly as unknown
    refused,  ///< did not and will not run here
};

/// Work as received by the sidecar.
struct submitted_work {
    work_id id;
    std::string key;            ///< idempotency key with its scope; empty if none was given
    std::string key_id;         ///< the caller's part of `key`, a UUIDv7
    std::uint64_t body_hash{0}; ///< hash of everything that a retry must repeat
    bool key_exclusive{true};   ///< no other instance can have a record of the key
    time_point expires_at{};
};

/// The work is new and has been admitted.
struct admitted {};

/// The same work, or work with the same key, is in progress; use its outcome.
struct in_progress {
    work_id first;
};

/// The outcome is known.
struct settled {
    outcome result;
};

/// Response of the ledger to a submission, a query, a refusal or a release.
using work_response = std::variant<admitted, in_progress, settled>;

struct ledger_policy {
    seconds retention{60};                    ///< of an identity after its expiry
    std::size_t max_entries{200'000};         ///< identities, beyond which new work is refused
    std::size_t max_answer_bytes{64U << 20U}; ///< beyond which the oldest answers are dropped
    key_policy keys{};
    bool check_identities{true}; ///< false only in tests: repeated work is admitted again
};

/// Sizes reported in the state dump.
struct ledger_sizes {
    std::size_t identities{0};
    std::size_t keys{0};
    std::size_t answer_bytes{0};
    std::size_t answers_dropped{0};
};

/// The record of work by identity. Memory is bounded: an identity is evicted one retention period
/// after its expiry; later messages that name it are refused because of its age.
class work_ledger {
public:
    /// \param started start time of this incarnation.
    work_ledger(ledger_policy policy, wall_time started);

    /// Admits and records new work, or returns what is already recorded about it.
    work_response submit(const submitted_work& work, clock_reading now);

    /// Releases a key to another instance: returns what is recorded about it, or records that its
    /// work will not run here and returns `not_run`. The state of keys from before this record
    /// stays unknown.
    /// \pre the work has a key.
    work_response release(const submitted_work& work, clock_reading now);

    /// Returns what is recorded about an identity; records `not_run` if it was never received.
    work_response query(const work_id& id, clock_reading now);

    /// Records that work will not run, unless it is running or has completed.
    /// \returns the recorded state: this refusal, or what was recorded before.
    work_response refuse(const work_id& id, error reason, clock_reading now);

    /// Marks admitted work as running. Required before any work is sent to the endpoint.
    /// \returns false if the work is not in state `admitted`; it must not be sent then.
    bool start(const work_id& id);

    /// Records the outcome of running work.
    void finish(const work_id& id, outcome result, clock_reading now);

    /// Drops the stored answer after the receiver has acknowledged it; the identity stays on
    /// record. The answer of work with a key is kept, since the caller may still retry with the
    /// key.
    void acknowledge(const work_id& id);

    /// Evicts identities and keys past their retention.
    void evict_expired(clock_reading now);

    /// Whether the work or its key is on record, so that no new execution is needed.
    bool contains(const submitted_work& work) const;

    /// The state of an identity. \returns nothing if it is not on record.
    std::optional<work_state> state_of(const work_id& id) const;

    /// The recorded outcome. \returns nothing unless the work is finished or refused.
    std::optional<outcome> outcome_of(const work_id& id) const;

    ledger_sizes sizes() const;

private:
    struct entry {
        work_state state{work_state::admitted};
        std::string key;
        std::optional<work_id> duplicate_of; ///< the work with the same key, whose outcome applies
        outcome result{};
        bool has_answer{false};
        time_point evict_at{};
    };
    using entry_map = std::unordered_map<work_id, entry>;

    work_response response_for(const work_id& id, const entry& found) const;
    work_response refuse_new(const work_id& id, error reason, time_point expires_at,
                             clock_reading now);
    bool may_be_evicted(const work_id& id) const;
    entry& add_entry(const work_id& id, time_point expires_at, clock_reading now);
    void schedule_eviction(const work_id& id, entry& target, time_point from);
    void store_answer(const work_id& id, entry& target);
    void drop_answer(entry& target);
    void drop_oldest_answers();

    ledger_policy policy_;
    entry_map entries_;
    std::multimap<time_point, work_id> eviction_order_;
    std::deque<work_id> answers_; ///< oldest first; may include dropped answers
    std::size_t answer_bytes_{0};
    std::size_t answers_dropped_{0};
    std::optional<wall_time> evicted_up_to_; ///< newest request time among evicted identities
    key_registry keys_;
};

} // namespace boragefront::ledger
