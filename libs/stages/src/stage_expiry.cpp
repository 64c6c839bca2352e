// Drops groups that cannot be completed in time.
#include "stages/stage_queue.hpp"

#include <algorithm>

namespace boragefront::stages {
namespace {

constexpr milliseconds hopeless_check_interval{50};
constexpr seconds max_overload_retry_after{5};
// Capacity varies with the measured durations of calls; a smaller loss is no loss of endpoints.
constexpr double endpoint_loss_ratio = 0.9;

} // namespace

// Time by which a group that is expected to take this long misses its hard deadline.
milliseconds stage_queue::time_beyond(milliseconds expected, const piece_group& group,
                                      time_point now) const {
    const auto left = std::max(group.hard_deadline - now, duration{0});
    return std::chrono::ceil<milliseconds>(std::max(expected - left, duration{0}));
}

milliseconds stage_queue::retry_after(const piece_group& group,
                                      milliseconds room_expected_in) const {
    return spread_retry_after(room_expected_in, full_call_time(), group.pieces.front().request_id);
}

void stage_queue::expire_group(std::uint64_t id, refusal_reason reason,
                               milliseconds room_expected_in) {
    const auto found = groups_.find(id);
    const auto& state = found->second;
    for (const auto& result : state.results) {
        if (!result.handle.empty()) {
            orphaned_results_.push_back(result.handle);
        }
    }
    finished_.push_back({id,
                         {},
                         true,
                         state.group.pieces.front().request_id,
                         retry_after(state.group, room_expected_in),
                         reason});
    erase_group(found);
}

bool stage_queue::has_lost_endpoints(const group_state& state, time_point now) const {
    return usable_endpoints(contended_share::included, now) <
           state.endpoints_expected * endpoint_loss_ratio;
}

refusal_reason stage_queue::reason_without_time(const group_state& state, time_point now) const {
    return has_lost_endpoints(state, now) ? refusal_reason::endpoints_lost
                                          : refusal_reason::no_time;
}

void stage_queue::expire_overdue(time_point now) {
    const auto least_time = service_time(1);
    for (auto next = groups_.begin(); next != groups_.end();) {
        const auto& [id, state] = *next++;
        if (!state.waiting.empty() && now + least_time > state.group.hard_deadline) {
            const auto endpoints = capacity_endpoints(now);
            expire_group(id, reason_without_time(state, now),
                         queue_time(waiting_pieces(), endpoints) +
                             current_load(now).time_to_process_excess());
        }
    }
}

void stage_queue::expire_hopeless(time_point now) {
    if (now < next_hopeless_check_) {
        return;
    }
    if (waiting_pieces() > capacity_.batch) {
        next_hopeless_check_ = now + hopeless_check_interval;
        expire_infeasible(now);
        expire_unservable_commitments(now);
    }
    decide_on_late(now);
}

// Whether a group would miss its hard deadline behind all others. Ordering them is only then worth
// its cost.
bool stage_queue::may_be_infeasible(time_point now) const {
    const auto last = now + queue_time(waiting_pieces(), capacity_endpoints(now));
    return std::any_of(groups_.begin(), groups_.end(), [&](const auto& item) {
        const auto& state = item.second;
        return !state.waiting.empty() && !state.committed &&
               last + service_time(state.waiting.size()) > state.group.hard_deadline;
    });
}

// Drops groups that cannot meet their hard deadline because of the groups ahead of them. Later
// arrivals can only delay them further, so their callers are told now and not at the deadline.
// Committed groups do not wait for the others.
void stage_queue::expire_infeasible(time_point now) {
    if (!may_be_infeasible(now)) {
        return;
    }
    const auto endpoints = capacity_endpoints(now);
    const auto excess = current_load(now).time_to_process_excess();
    auto order = groups_by_rank(now);
    std::size_t ahead = 0;
    for (std::size_t i = 0; const auto* const state = order.at(i); ++i) {
        const auto pieces = state->waiting.size();
        const auto expected = queue_time(ahead, endpoints) + service_time(pieces);
        if (!state->begun() && !state->committed && now + expected > state->group.hard_deadline) {
            expire_group(state->group.id, reason_without_time(*state, now),
                         time_beyond(expected, state->group, now) + excess);
        } else {
            ahead += pieces;
        }
    }
}

// Drops committed groups that cannot meet their hard deadline any more since endpoints were lost.
void stage_queue::expire_unservable_commitments(time_point now) {
    const auto endpoints = capacity_endpoints(now);
    const auto excess = current_load(now).time_to_process_excess();
    std::size_t ahead = 0;
    for (const auto* const state : committed_by_deadline()) {
        const auto pieces = state->waiting.size();
        const auto expected = queue_time(ahead, endpoints) + service_time(pieces);
        if (!state->begun() && now + expected > state->group.hard_deadline &&
            has_lost_endpoints(*state, now)) {
            expire_group(state->group.id, refusal_reason::endpoints_lost,
                         time_beyond(expected, state->group, now) + excess);
        } else {
            ahead += pieces;
        }
    }
}

std::vector<stage_queue::group_state*> stage_queue::undecided_late_groups(time_point now) {
    const auto min_call = min_call_time();
    std::vector<group_state*> late;
    for (auto& [id, state] : groups_) {
        if (!state.committed && !state.waiting.empty() && is_late(state, min_call, now)) {
            late.push_back(&state);
        }
    }
    return late;
}

std::map<int, stage_queue::waiting_work> stage_queue::waiting_by_priority() const {
    std::map<int, waiting_work> waiting;
    for (const auto& [id, state] : groups_) {
        auto& work = waiting[state.group.priority];
        work.pieces += state.waiting.size();
        work.committed += state.committed ? state.waiting.size() : 0;
    }
    return waiting;
}

// Whether a late group can be completed by its hard deadline if it goes before on-time groups of
// its own priority, but not before more urgent ones and those that were committed to earlier.
bool stage_queue::can_commit(const group_state& state, const service_load& load,
                             const std::map<int, waiting_work>& waiting, time_point now) const {
    auto pieces = state.waiting.size();
    for (const auto& [priority, work] : waiting) {
        pieces += priority < state.group.priority    ? work.pieces
                  : priority == state.group.priority ? work.committed
                                                     : 0;
    }
    return load.can_process_besides(arrivals_.rate_before(state.group.priority, now), pieces,
                                    state.group.hard_deadline - now);
}

// Whether this number of pieces starts with the next call of each endpoint.
bool stage_queue::fits_next_calls(std::size_t pieces, time_point now) const {
    const auto calls =
        std::max(usable_endpoints(contended_share::excluded, now), 1.0) * capacity_.calls;
    return static_cast<double>(pieces) <= calls * static_cast<double>(capacity_.batch);
}

// Decides once on each group that has become late while it waited. In an overload that lasts, new
// arrivals need the whole capacity, and serving a late group makes others late. Groups of later
// stages are always committed to, since their requests have used capacity already.
void stage_queue::decide_on_late(time_point now) {
    const auto late = undecided_late_groups(now);
    if (late.empty()) {
        return;
    }
    const auto endpoints = capacity_endpoints(now);
    auto load = current_load(now);
    if (fits_next_calls(load.waiting, now)) {
        for (auto* const state : late) {
            commit(*state, now);
        }
        return;
    }
    const bool overloaded = load.is_overloaded();
    if (overloaded) {
        overload_.record_late_work(now);
    }
    // An overload that has lasted for some time is likely to last as long again.
    const auto room_expected_in =
        std::max(queue_time(load.waiting, endpoints) + load.time_to_process_excess(),
                 std::min<milliseconds>(overload_.overloaded_for(now).value_or(milliseconds{0}),
                                        max_overload_retry_after));
    auto waiting = waiting_by_priority();
    for (auto* const state : late) {
        const auto pieces = state->waiting.size();
        auto& work = waiting[state->group.priority];
        const bool first_stage = state->group.pieces.front().inputs.empty();
        const bool has_no_room =
            overloaded && !load.can_process_waiting(state->group.hard_deadline - now);
        if (state->begun() || !first_stage ||
            (!has_no_room && can_commit(*state, load, waiting, now))) {
            work.committed += pieces;
            commit(*state, now);
            continue;
        }
        load.waiting -= pieces;
        work.pieces -= pieces;
        expire_group(state->group.id,
                     has_no_room ? refusal_reason::overload : refusal_reason::no_time,
                     room_expected_in);
    }
}

void stage_queue::commit(group_state& state, time_point now) {
    state.committed = true;
    ++committed_groups_;
    state.endpoints_expected = usable_endpoints(contended_share::included, now);
}

} // namespace boragefront::stages
