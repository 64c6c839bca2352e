/// \file
/// The bounded queue of a sidecar: strict-priority lanes, each fair between workspaces.
#pragma once

#include "admission/fair_lane.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace boragefront::admission {

inline constexpr std::size_t lane_count = 3;

/// The work was queued.
struct queued {
    std::optional<waiting_work> displaced; ///< removed from the full queue to make room
};

/// The queue is full and holds nothing that this work may displace.
struct queue_full {};

using push_result = std::variant<queued, queue_full>;

/// Mechanisms that tests can disable.
struct queue_mechanisms {
    bool strict_priority{true}; ///< otherwise all work is in one lane
    bool fair{true};            ///< otherwise each lane is first come, first served
};

/// Dispatches urgent before normal before background work. When full, it displaces the newest item
/// of the most backlogged workspace, from the lane of lowest priority that can be displaced.
class admission_queue {
public:
    explicit admission_queue(std::size_t capacity, queue_mechanisms mechanisms = {});

    std::size_t size() const;
    std::size_t size(config::lane which) const;

    /// Number of items that would be dispatched before this work if it arrived now.
    std::size_t ahead_of(const waiting_work& work) const;

    void set_capacity(std::size_t capacity) { capacity_ = capacity; }

    push_result push(waiting_work added);

    /// Removes and returns the next item in dispatch order.
    /// \param urgent_only considers only the urgent lane.
    std::optional<waiting_work> pop(bool urgent_only = false);

    /// Removes one item. \returns whether it was queued.
    bool remove(const work_id& id);

    /// Removes and returns all items that expire at or before `now`.
    std::vector<waiting_work> take_expired(time_point now);

    /// Removes and returns all items.
    std::vector<waiting_work> take_all();

private:
    std::size_t index_of(config::lane which) const;
    bool can_displace(const waiting_work& added, std::size_t index) const;

    std::size_t capacity_;
    queue_mechanisms mechanisms_;
    std::array<fair_lane, lane_count> lanes_;
};

} // namespace boragefront::admission
