/// \file
/// The bounded queue of a sidecar: lanes in order of priority, each fair between workspaces.
#pragma once

#include "admission/fair_lane.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace boragefront::admission {

inline constexpr std::size_t lane_count = 3;

/// The work was queued, perhaps in place of less valuable work.
struct queued {
    std::optional<waiting_work> displaced;
};

/// The queue is full of work at least as valuable.
struct queue_full {};

using push_result = std::variant<queued, queue_full>;

/// What tests may switch off.
struct queue_mechanisms {
    bool lanes_in_order{true}; ///< else all work is in one lane
    bool fair{true};           ///< else each lane is first come, first served
};

/// Serves urgent before normal before background work. When it is full, the newest work of the
/// longest workspace of the least valuable lane gives way.
class admission_queue {
public:
    explicit admission_queue(std::size_t capacity, queue_mechanisms mechanisms = {});

    std::size_t size() const;
    std::size_t size(config::lane which) const;

    /// How many would be served before such work if it arrived now.
    std::size_t ahead_of(const waiting_work& work) const;

    void set_capacity(std::size_t capacity) { capacity_ = capacity; }

    push_result push(waiting_work added);

    /// Takes the next in turn.
    /// \param urgent_only leaves the other lanes alone.
    std::optional<waiting_work> pop(bool urgent_only = false);

    /// Takes one piece of work. \returns whether it was waiting.
    bool remove(const work_id& id);

    /// Takes all work that expires at or before `now`.
    std::vector<waiting_work> take_expired(time_point now);

    /// Takes everything.
    std::vector<waiting_work> take_all();

private:
    std::size_t index_of(config::lane which) const;
    bool makes_room(const waiting_work& added, std::size_t index) const;

    std::size_t capacity_;
    queue_mechanisms mechanisms_;
    std::array<fair_lane, lane_count> lanes_;
};

} // namespace boragefront::admission
