/// \file
/// What became of each piece of work that a sidecar was given: the record by which work runs at
/// most once and a refusal stays true.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"
#include "ledger/key_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace boragefront::ledger {

/// A whole answer of an endpoint.
struct answer {
    std::string content_type;
    std::string body;
    microseconds service_time{0}; ///< spent at the endpoint
};

/// How a piece of work ended.
using outcome = std::variant<answer, error>;

/// The two clocks at one moment. The wall clock is only compared with the times that identities and
/// idempotency keys carry.
struct clock_reading {
    time_point steady;
    wall_time wall;
};

enum class work_state : std::uint8_t {
    admitted, ///< waits for its turn
    running,  ///< was sent to the endpoint
    finished, ///< its outcome is known, or known to be unknown
    refused,  ///< never ran here and never will
};

/// A piece of work as it arrives.
struct work_arrival {
    work_id id;
    std::string key;            ///< idempotency key with its scope; empty if there is none
    std::string key_id;         ///< the caller's part of `key`, a UUIDv7
    std::uint64_t body_hash{0}; ///< of everything that a retry must repeat
    bool key_vouched{true};     ///< no other record can hold the key
    time_point expires_at{};
};

/// The work is new and now admitted.
struct admitted {};

/// The same work, or work with the same key, is in progress; its outcome is the answer.
struct in_progress {
    work_id first;
};

/// The outcome is known.
struct settled {
    outcome what;
};

using arrival = std::variant<admitted, in_progress, settled>;

struct ledger_policy {
    seconds retention{60};                ///< of an identity beyond its expiry
    std::size_t entries{200'000};         ///< identities held, after which new work is refused
    std::size_t answer_bytes{64U << 20U}; ///< kept answers, after which the oldest are dropped
    key_policy keys{};
    bool remember_identities{true}; ///< false only in tests
};

/// Numbers for the dump.
struct ledger_sizes {
    std::size_t identities{0};
    std::size_t keys{0};
    std::size_t answer_bytes{0};
    std::size_t answers_dropped{0};
};

/// The record by identity. Bounded in memory: an identity is forgotten a retention after its
/// expiry, past which any message that names it is refused by its age alone.
class work_ledger {
public:
    /// \param started when this incarnation began.
    work_ledger(ledger_policy policy, wall_time started);

    /// Records an arrival, or finds what is already known of it.
    arrival arrive(const work_arrival& work, clock_reading now);

    /// Gives a key up to another home: finds what is known of it, or records that it never runs
    /// here and answers `not_run`. Keys from before this record stay unknown.
    /// \pre the work has a key.
    arrival release(const work_arrival& work, clock_reading now);

    /// What is known of an identity; records a refusal of `not_run` if it never arrived.
    arrival ask(const work_id& id, clock_reading now);

    /// Records that work will never run, unless it runs or has ended.
    /// \returns the outcome on record: the refusal given, or what was there before.
    arrival refuse(const work_id& id, error reason, clock_reading now);

    /// The only way to the endpoint: turns admitted work into running work.
    /// \returns false if the work is not admitted; it must not run then.
    bool start(const work_id& id);

    /// Records how running work ended.
    void finish(const work_id& id, outcome what, clock_reading now);

    /// Drops the kept answer of work whose receiver has it; the identity stays on record. Keyed
    /// work keeps its answer, as the caller may still retry with the key.
    void acknowledge(const work_id& id);

    /// Forgets what is past its retention.
    void forget_expired(clock_reading now);

    /// Whether the work or its key is on record, so that its outcome needs no new run.
    bool knows(const work_arrival& work) const;

    /// The state of an identity. \returns nothing if it is not on record.
    std::optional<work_state> state_of(const work_id& id) const;

    /// The recorded outcome. \returns nothing unless the work is finished or refused.
    std::optional<outcome> outcome_of(const work_id& id) const;

    ledger_sizes sizes() const;

private:
    struct entry {
        work_state state{work_state::admitted};
        std::string key;
        std::optional<work_id> same_as; ///< the work whose outcome is also this one's
        outcome what{};
        bool has_body{false};
        time_point forget_at{};
    };
    using entry_map = std::unordered_map<work_id, entry>;

    arrival known(const work_id& id, const entry& found) const;
    arrival refused_unseen(const work_id& id, error reason, time_point expires_at,
                           clock_reading now);
    bool may_have_forgotten(const work_id& id) const;
    entry& record(const work_id& id, time_point expires_at, clock_reading now);
    void forget_after_retention(const work_id& id, entry& of, time_point from);
    void keep_body(const work_id& id, entry& of);
    void drop_body(entry& of);
    void drop_oldest_bodies();

    ledger_policy policy_;
    entry_map entries_;
    std::multimap<time_point, work_id> forget_order_;
    std::deque<work_id> bodies_; ///< oldest first; may name dropped ones
    std::size_t answer_bytes_{0};
    std::size_t answers_dropped_{0};
    std::optional<wall_time> forgotten_up_to_; ///< newest request time that was forgotten
    key_record keys_;
};

} // namespace boragefront::ledger
