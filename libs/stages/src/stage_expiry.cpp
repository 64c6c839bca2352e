// Drops groups that cannot be completed in time.
#include "stages/stage_queue.hpp"

#include <algorithm>

namespace boragefront::stages {
namespace {

constexpr milliseconds hopeless_check_interval{50};
constexpr seconds max_overload_retry_after{5}; // in addition to the time of the queue

} // namespace

// Time until a group with the same time left as this one could meet its hard deadline.
milliseconds stage_queue::retry_after(milliseconds expected, const piece_group& group,
                                      time_point now) const {
    const auto left = std::max(group.hard_deadline - now, duration{0});
    return std::chrono::ceil<milliseconds>(std::max(expected - left, duration{0}));
}

void stage_queue::expire_group(std::uint64_t id, milliseconds after) {
    const auto group = groups_.find(id);
    for (const auto& result : group->second.results) {
        if (!result.handle.empty()) {
            orphaned_results_.push_back(result.handle);
        }
    }
    finished_.push_back({id, {}, true, group->second.group.pieces.front().request_id, after});
    groups_.erase(group);
}

void stage_queue::expire_overdue(time_point now) {
    for (auto next = groups_.begin(); next != groups_.end();) {
        const auto& [id, state] = *next++;
        if (!state.waiting.empty() && now + service_time(1) > state.group.hard_deadline) {
            expire_group(id, queue_time(waiting_pieces(), now));
        }
    }
}

void stage_queue::expire_hopeless(time_point now) {
    if (now < next_hopeless_check_ || waiting_pieces() <= capacity_.batch) {
        return;
    }
    next_hopeless_check_ = now + hopeless_check_interval;
    expire_infeasible(now);
    expire_late(now);
}

// Drops groups that cannot meet their hard deadline because of the groups ahead of them. Later
// arrivals can only delay them further, so their callers are told now and not at the deadline.
void stage_queue::expire_infeasible(time_point now) {
    std::size_t ahead = 0;
    for (auto* const state : groups_by_rank(now)) {
        const auto pieces = state->waiting.size();
        const auto expected = queue_time(ahead, now) + service_time(pieces);
        if (!state->begun() && now + expected > state->group.hard_deadline) {
            expire_group(state->group.id, retry_after(expected, state->group, now));
        } else {
            ahead += pieces;
        }
    }
}

// In an overload that lasts, drops groups that have become late while they waited: new arrivals are
// served before them, and results that are produced for them take up memory that others need.
// Groups of later stages stay, since their requests have used capacity already.
void stage_queue::expire_late(time_point now) {
    const auto each_endpoint = std::max(capacity_endpoints(now), 1.0) * capacity_.calls;
    const auto in_next_calls = each_endpoint * static_cast<double>(capacity_.batch);
    if (static_cast<double>(waiting_pieces()) <= in_next_calls) {
        return;
    }
    const auto min_call = min_call_time();
    std::vector<std::uint64_t> late;
    for (const auto& [id, state] : groups_) {
        const bool first_stage = state.group.pieces.front().inputs.empty();
        if (!state.waiting.empty() && !state.begun() && first_stage && state.goal_was_feasible &&
            is_late(state, min_call, now)) {
            late.push_back(id);
        }
    }
    if (late.empty()) {
        return;
    }
    overload_.record_late_work(now);
    const auto overloaded_for = overload_.overloaded_for(now);
    if (!overloaded_for) {
        return;
    }
    // An overload that has lasted for some time is likely to last as long again.
    const auto after = queue_time(waiting_pieces(), now) +
                       std::min<milliseconds>(*overloaded_for, max_overload_retry_after);
    for (const auto id : late) {
        expire_group(id, after);
    }
}

} // namespace boragefront::stages
