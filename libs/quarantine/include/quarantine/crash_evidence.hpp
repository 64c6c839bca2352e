/// \file
/// The crashes of engines in which a part of a prompt was involved.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::quarantine {

inline constexpr unsigned cause_weight = 10;
inline constexpr unsigned bystander_weight = 6;
inline constexpr unsigned content_weight = 5;

/// A crash of an engine while it processed a request with a part.
struct crash_record {
    std::uint64_t engine{0}; ///< identifies the engine's incarnation
    time_point crashed_at{};
    time_point sent_at{};       ///< when the request was sent
    bool response_begun{false}; ///< its response had begun to arrive, and not gone on
    /// The part was answered after the crash, or the engine had not crashed. Kept, so that other
    /// entries learn of it.
    bool cleared{false};
    /// When content began to arrive of a response that had gone on, but was not sound yet.
    std::optional<time_point> content_at{};
};

/// What this entry and others know of one part. Merging is commutative and idempotent. Reads no
/// clock.
class crash_evidence {
public:
    /// Adds a record, or merges it into the one of the same crash.
    /// \returns whether anything changed.
    bool add(const crash_record& record);

    /// Clears the crashes before a point in time, at which a response to the part was sound.
    bool clear_before(time_point sound_at);

    /// Clears a crash of an engine that has not crashed.
    bool clear_engine(std::uint64_t engine);

    /// Forgets records that no entry reports any more.
    void purge(time_point now);

    /// The weight of the crashes that are not cleared. A request whose response had just begun
    /// counts `cause_weight`. One that was still waiting may be a bystander and counts
    /// `bystander_weight`, and only if it was sent after the crash before. One whose response had
    /// gone on counts `content_weight`, and only if its content began after the crash before.
    /// Crashes with a common cause count once.
    unsigned weight() const;

    /// The first crash that is not cleared.
    std::optional<time_point> first_crash_at() const;

    /// The last crash that is not cleared.
    std::optional<time_point> last_crash_at() const;

    /// Whether another part was involved in all crashes of this one that are not cleared.
    bool is_explained_by(const crash_evidence& other) const;

    const std::vector<crash_record>& records() const { return records_; }
    bool empty() const { return records_.empty(); }

private:
    std::vector<crash_record> records_; // by time of the crash
};

} // namespace boragefront::quarantine
