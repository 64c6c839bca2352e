// Batching of pieces into calls and assignment of calls to endpoints.
#include "scaled_time.hpp"
#include "stages/stage_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragefront::stages {
namespace {

constexpr double near_wait_calls =
    1.5; // slack required to wait for a nearby endpoint, in full calls
constexpr double near_slowdown_limit = 2; // no waiting for endpoints slower than this
constexpr milliseconds timeout_margin{250};
constexpr double timeout_factor =
    2.5; // a call times out after this multiple of its expected duration

} // namespace

// If more pieces wait than fit into one call, a group shares its call with others, and that call
// takes as long as a full one.
milliseconds stage_queue::min_call_time() const {
    return waiting_pieces() > capacity_.batch ? service_time(capacity_.batch) : milliseconds{0};
}

// Whether a group misses its soft deadline even if it is started now.
bool stage_queue::is_late(const group_state& state, milliseconds min_call_time,
                          time_point now) const {
    const auto own = std::max(service_time(state.waiting.size()), min_call_time);
    return now + own > state.group.soft_deadline;
}

// Cost of a piece of a group in ms of an endpoint, see `fairness::piece_cost`.
double stage_queue::piece_cost(const piece_group& group) const {
    const auto memory = static_cast<double>(capacity_.result_memory_bytes);
    const auto full_call = capacity_.call_time + capacity_.piece_time * capacity_.batch;
    return fairness::piece_cost({full_call / capacity_.batch,
                                 memory > 0 ? static_cast<double>(group.result_bytes) / memory : 0,
                                 capacity_.batch});
}

fairness::flow_order stage_queue::flow_order(time_point now) {
    std::set<fairness::flow_view> waiting;
    for (const auto& [id, state] : groups_) {
        if (!state.waiting.empty()) {
            waiting.emplace(state.group.priority, state.group.workspace);
        }
    }
    return shares_.order(waiting, static_cast<double>(service_time(capacity_.batch).count()), now);
}

void stage_queue::count_deferred(const std::vector<group_state*>& left_waiting) {
    for (auto* const state : left_waiting) {
        if (state->deferred && !std::exchange(state->counted_as_deferred, true)) {
            ++deferred_groups_;
        }
    }
}

std::vector<stage_queue::group_state*> stage_queue::groups_by_rank(time_point now) {
    using rank = std::tuple<bool, bool, bool, int, double, std::size_t, time_point, std::uint64_t>;
    const auto min_call = min_call_time();
    const auto flows = flow_order(now);
    std::vector<std::pair<rank, group_state*>> ranked;
    ranked.reserve(groups_.size());
    for (auto& [id, state] : groups_) {
        if (!state.waiting.empty()) {
            const auto priority = state.group.priority;
            const auto position = flows.position({priority, state.group.workspace});
            state.deferred = position > 0 && !state.begun();
            ranked.emplace_back(rank{!state.begun(), !flows.is_starved(priority),
                                     is_late(state, min_call, now), priority, position,
                                     state.waiting.size(), state.group.soft_deadline, id},
                                &state);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<group_state*> order;
    order.reserve(ranked.size());
    for (const auto& [key, state] : ranked) {
        order.push_back(state);
    }
    return order;
}

bool stage_queue::is_idle(const endpoint_state& endpoint, time_point now) const {
    return in_service(endpoint, now) && !endpoint.avoided && endpoint.calls < capacity_.calls &&
           now >= endpoint.backoff_until;
}

// The data centres with an endpoint that is usable and not too slow.
std::set<std::string, std::less<>> stage_queue::near_data_centres(time_point now) const {
    std::set<std::string, std::less<>> usable;
    for (const auto& [id, endpoint] : endpoints_) {
        if (in_service(endpoint, now) && !endpoint.avoided && now >= endpoint.backoff_until &&
            slowdown_now(endpoint, now) < near_slowdown_limit) {
            usable.insert(endpoint.descriptor.data_centre);
        }
    }
    return usable;
}

// Whether a group has enough slack to wait for an endpoint nearer to its data than `target`.
bool stage_queue::waits_for_nearer(const group_state& state, const endpoint_state& target,
                                   const planning_pass& plan) const {
    const auto& near = state.group.near_data_centre;
    if (near.empty() || near == target.descriptor.data_centre || !plan.near.contains(near)) {
        return false;
    }
    const auto slack = state.group.soft_deadline - plan.now - service_time(state.waiting.size());
    return slack >= service_time(capacity_.batch) * near_wait_calls;
}

// Number of pieces of a group that still fit into a call.
std::size_t stage_queue::batch_space(const group_state& state, std::size_t taken,
                                     std::uint64_t room) const {
    const auto space = capacity_.batch - taken;
    const auto bytes = state.group.result_bytes;
    const bool limited = capacity_.result_memory_bytes > 0 && bytes > 0;
    return limited ? std::min<std::size_t>(space, room / bytes) : space;
}

// Whether the waiting pieces of a group do not fit into any single call.
bool stage_queue::exceeds_one_call(const group_state& state) const {
    const auto bytes = state.waiting.size() * state.group.result_bytes;
    return state.waiting.size() > capacity_.batch ||
           (capacity_.result_memory_bytes > 0 && bytes > capacity_.result_memory_bytes);
}

// Fills one call in rank order. A group that does not fit is skipped in favour of smaller ones, so
// that its pieces stay together. A group is split only if it does not fit into any single call, or
// if the skipped pieces would fill another call: then the service is saturated, and an unfilled
// call costs more than the split.
std::vector<stage_queue::call_piece> stage_queue::fill_batch(std::vector<group_state*>& order,
                                                             const endpoint_state& target,
                                                             std::uint64_t room,
                                                             const planning_pass& plan) const {
    std::vector<call_piece> batch;
    const auto take = [&](group_state& state, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            batch.push_back({state.group.id, state.waiting[i].index});
        }
        state.waiting.erase(state.waiting.begin(),
                            state.waiting.begin() + static_cast<std::ptrdiff_t>(count));
        room -= std::min(room, count * state.group.result_bytes);
    };
    std::size_t skipped_pieces = 0;
    group_state* first_skipped = nullptr;
    for (auto* const state : order) {
        if (waits_for_nearer(*state, target, plan)) {
            continue;
        }
        const auto space = batch_space(*state, batch.size(), room);
        const bool splits = batch.empty() && exceeds_one_call(*state);
        if (state->waiting.size() <= space || splits) {
            take(*state, std::min(space, state->waiting.size()));
        } else {
            skipped_pieces += state->waiting.size();
            first_skipped = first_skipped == nullptr ? state : first_skipped;
        }
    }
    if (skipped_pieces >= capacity_.batch) {
        const auto space = batch_space(*first_skipped, batch.size(), room);
        take(*first_skipped, std::min(space, first_skipped->waiting.size()));
    }
    std::erase_if(order, [](const group_state* state) { return state->waiting.empty(); });
    return batch;
}

stage_queue::endpoint_state* stage_queue::earliest_finishing_endpoint(std::size_t pieces,
                                                                      const planning_pass& plan) {
    const auto nominal = capacity_.call_time + capacity_.piece_time * pieces;
    endpoint_state* best = nullptr;
    auto best_end = time_point::max();
    for (auto& [id, endpoint] : endpoints_) {
        if (!in_service(endpoint, plan.now) || endpoint.avoided || plan.skipped.contains(id)) {
            continue;
        }
        auto free_at = std::max(plan.now, endpoint.backoff_until);
        if (endpoint.calls >= capacity_.calls) {
            free_at = std::max(free_at, endpoint.busy_until);
        }
        if (const auto later = plan.busy_until.find(id); later != plan.busy_until.end()) {
            free_at = std::max(free_at, later->second);
        }
        auto end = free_at + scaled(nominal, slowdown_now(endpoint, plan.now));
        if (endpoint.contended) {
            // The other dispatcher may have a call in progress there.
            end += service_time(capacity_.batch);
        }
        if (end < best_end) {
            best = &endpoint;
            best_end = end;
        }
    }
    return best;
}

stage_call stage_queue::start_call(endpoint_state& target, const std::vector<call_piece>& pieces,
                                   time_point now) {
    const auto nominal = capacity_.call_time + capacity_.piece_time * pieces.size();
    const auto expected = scaled(nominal, std::max(slowdown_now(target, now), 1.0));
    stage_call call;
    call.id = next_call_++;
    call.endpoint = target.descriptor.id;
    call.incarnation = target.descriptor.incarnation;
    call.address = target.descriptor.address;
    call.expected = expected;
    call.timeout = scaled(expected, timeout_factor) + timeout_margin;
    for (const auto& piece : pieces) {
        auto& state = groups_.at(piece.group);
        shares_.charge({state.group.priority, state.group.workspace}, piece_cost(state.group), now);
        ++state.attempts[piece.index];
        call.pieces.push_back(state.group.pieces[piece.index]);
        call.time_left.push_back(std::chrono::floor<milliseconds>(
            std::max(state.group.hard_deadline - now, duration{0})));
    }
    std::uint64_t bytes = 0;
    for (const auto& piece : pieces) {
        bytes += groups_.at(piece.group).group.result_bytes;
    }
    target.pending_bytes += bytes;
    call.room_left = free_room(target, now);
    if (const auto removed_at = target.descriptor.removed_at) {
        call.unregistered_for = std::chrono::floor<milliseconds>(now - *removed_at);
    }
    ++target.calls;
    target.busy_until = now + expected;
    target.last_call_at = now;
    if (const auto found = call_intervals_.find(target.descriptor.id);
        found != call_intervals_.end()) {
        target.backoff_until = std::max(target.backoff_until, now + found->second);
    }
    calls_[call.id] = {
        target.descriptor.id, target.descriptor.incarnation, pieces, now, scaled(nominal, 1), bytes,
        call.room_left};
    return call;
}

// Plans calls in rank order, each at the endpoint that is expected to finish it first, until every
// idle endpoint has a call or is skipped. A call planned at a busy endpoint is not started; it
// reserves its pieces, so that they are not sent to an idle endpoint that is slower than waiting.
std::vector<stage_call> stage_queue::next_calls(time_point now) {
    expire_overdue(now);
    expire_results(now);
    update_avoided(now);
    auto idle = static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const auto& item) { return is_idle(item.second, now); }));
    std::vector<stage_call> started;
    auto pieces = idle == 0 ? 0 : waiting_pieces();
    if (pieces == 0) {
        return started;
    }
    auto order = groups_by_rank(now);
    planning_pass plan{now, near_data_centres(now), {}, {}};
    std::vector<call_piece> reserved;
    for (std::size_t step = 0; step < 2 * endpoints_.size() && idle > 0 && !order.empty(); ++step) {
        auto* const target = earliest_finishing_endpoint(std::min(pieces, capacity_.batch), plan);
        if (target == nullptr) {
            break;
        }
        const bool starts =
            is_idle(*target, now) && !plan.busy_until.contains(target->descriptor.id);
        // The memory free at a later time is unknown; a call that is only planned assumes all of
        // it.
        auto batch = fill_batch(
            order, *target, starts ? free_room(*target, now) : capacity_.result_memory_bytes, plan);
        if (batch.empty()) {
            plan.skipped.insert(target->descriptor.id);
            idle -= starts ? 1 : 0;
            continue;
        }
        pieces -= batch.size();
        if (starts) {
            started.push_back(start_call(*target, batch, now));
            if (target->calls >= capacity_.calls) {
                plan.busy_until[target->descriptor.id] = target->busy_until;
                --idle;
            }
            continue;
        }
        const auto nominal = capacity_.call_time + capacity_.piece_time * batch.size();
        const auto free_at = std::max({now, target->backoff_until, target->busy_until,
                                       plan.busy_until[target->descriptor.id]});
        plan.busy_until[target->descriptor.id] =
            free_at + scaled(nominal, slowdown_now(*target, now));
        reserved.insert(reserved.end(), batch.begin(), batch.end());
    }
    count_deferred(order);
    for (const auto& piece : reserved) {
        groups_.at(piece.group).waiting.push_back({piece.index});
    }
    for (auto& call : started) {
        call.left_waiting = pieces + reserved.size();
    }
    return started;
}

} // namespace boragefront::stages
