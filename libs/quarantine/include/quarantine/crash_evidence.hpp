/// \file
/// The crashes of engines in which a part of a prompt was involved.
#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragefront::quarantine {

inline constexpr unsigned cause_weight = 5;
inline constexpr unsigned bystander_weight = 3;

/// A crash of an engine while it processed a request with a part.
struct crash_record {
    std::uint64_t engine{0}; ///< identifies the engine's incarnation
    time_point crashed_at{};
    time_point sent_at{};       ///< when the request was sent
    bool response_begun{false}; ///< the head of its response had arrived, but no content
    /// The part was answered after the crash, or the engine had not crashed. Kept, so that other
    /// entries learn of it.
    bool cleared{false};
};

/// What this entry and others know of one part. Merging is commutative and idempotent. Reads no
/// clock.
class crash_evidence {
public:
    /// Adds a record, or merges it into the one of the same crash.
    /// \returns whether anything changed.
    bool add(const crash_record& record);

    /// Clears the crashes before a point in time, at which a response to the part began.
    bool clear_before(time_point responded_at);

    /// Clears a crash of an engine that has not crashed.
    bool clear_engine(std::uint64_t engine);

    /// Forgets records that no entry reports any more.
    void purge(time_point now);

    /// The weight of the crashes that are not cleared. A request whose response had begun counts
    /// `cause_weight`. One that was still waiting may be a bystander and counts `bystander_weight`,
    /// and only if it was sent after the crash before. Crashes with a common cause count once.
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
