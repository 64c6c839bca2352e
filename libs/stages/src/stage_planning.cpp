// Which pieces go into which call, and where.
#include "scaled_time.hpp"
#include "stages/stage_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace boragefront::stages {
namespace {

constexpr double near_wait_calls =
    1.5; // full calls that a nearby endpoint may need until it is free
constexpr double near_slowdown_limit = 2; // a slower one is not waited for
constexpr milliseconds silence_margin{250};
constexpr double silence_factor = 2.5; // times the expected time until a call counts as lost

} // namespace

std::vector<stage_queue::group_state*> stage_queue::in_order(time_point now) {
    using rank = std::tuple<bool, int, std::size_t, time_point, std::uint64_t>;
    // While others wait, a group shares its call with them, and the call lasts as long as a full
    // one.
    const auto shared_call =
        waiting_pieces() > capacity_.batch ? service_time(capacity_.batch) : milliseconds{0};
    std::vector<std::pair<rank, group_state*>> ranked;
    ranked.reserve(groups_.size());
    for (auto& [id, one] : groups_) {
        if (!one.waiting.empty()) {
            const auto own = std::max(service_time(one.waiting.size()), shared_call);
            const bool late = now + own > one.group.soft_deadline;
            ranked.emplace_back(
                rank{late, one.group.priority, one.waiting.size(), one.group.soft_deadline, id}, &one);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<group_state*> order;
    order.reserve(ranked.size());
    for (const auto& [key, one] : ranked) {
        order.push_back(one);
    }
    return order;
}

bool stage_queue::is_idle(const endpoint_state& one, time_point now) const {
    return one.in_service && !one.avoided && one.calls < capacity_.calls && now >= one.held_until;
}

// The data centres with an endpoint that is worth waiting for.
std::set<std::string, std::less<>> stage_queue::near_data_centres(time_point now) const {
    std::set<std::string, std::less<>> usable;
    for (const auto& [id, one] : endpoints_) {
        if (one.in_service && !one.avoided && now >= one.held_until &&
            slowdown_now(one, now) < near_slowdown_limit) {
            usable.insert(one.self.data_centre);
        }
    }
    return usable;
}

// Whether a group has the time to wait for an endpoint nearer to it than this one.
bool stage_queue::waits_for_nearer(const group_state& one, const endpoint_state& where,
                                   const planning& plan) const {
    const auto& near = one.group.near_data_centre;
    if (near.empty() || near == where.self.data_centre || !plan.near.contains(near)) {
        return false;
    }
    const auto slack = one.group.soft_deadline - plan.now - service_time(one.waiting.size());
    return slack >= service_time(capacity_.batch) * near_wait_calls;
}

// How many more pieces of a group fit into a call.
std::size_t stage_queue::space_for(const group_state& one, std::size_t taken,
                                   std::uint64_t room) const {
    const auto space = capacity_.batch - taken;
    const auto bytes = one.group.result_bytes;
    const bool limited = capacity_.result_room_bytes > 0 && bytes > 0;
    return limited ? std::min<std::size_t>(space, room / bytes) : space;
}

// Whether no call could take all pieces of a group.
bool stage_queue::exceeds_a_call(const group_state& one) const {
    const auto bytes = one.waiting.size() * one.group.result_bytes;
    return one.waiting.size() > capacity_.batch ||
           (capacity_.result_room_bytes > 0 && bytes > capacity_.result_room_bytes);
}

// Fills one call in order. A group that does not fit is passed over for smaller ones, so that its
// pieces stay together. It is split only if it exceeds any call, or if what waits fills another
// call anyway: then the service is saturated, and an unfilled call costs more than the split.
std::vector<stage_queue::call_piece> stage_queue::take_batch(std::vector<group_state*>& order,
                                                             const endpoint_state& where,
                                                             std::uint64_t room,
                                                             const planning& plan) const {
    std::vector<call_piece> batch;
    const auto take = [&](group_state& one, std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            batch.push_back({one.group.id, one.waiting[i].index});
        }
        one.waiting.erase(one.waiting.begin(),
                          one.waiting.begin() + static_cast<std::ptrdiff_t>(count));
        room -= std::min(room, count * one.group.result_bytes);
    };
    std::size_t passed_over = 0;
    group_state* first_passed_over = nullptr;
    for (auto* const one : order) {
        if (waits_for_nearer(*one, where, plan)) {
            continue;
        }
        const auto space = space_for(*one, batch.size(), room);
        const bool splits = batch.empty() && exceeds_a_call(*one);
        if (one->waiting.size() <= space || splits) {
            take(*one, std::min(space, one->waiting.size()));
        } else {
            passed_over += one->waiting.size();
            first_passed_over = first_passed_over == nullptr ? one : first_passed_over;
        }
    }
    if (passed_over >= capacity_.batch) {
        const auto space = space_for(*first_passed_over, batch.size(), room);
        take(*first_passed_over, std::min(space, first_passed_over->waiting.size()));
    }
    std::erase_if(order, [](const group_state* one) { return one->waiting.empty(); });
    return batch;
}

stage_queue::endpoint_state* stage_queue::soonest(std::size_t pieces, const planning& plan) {
    const auto nominal = capacity_.call_time + capacity_.piece_time * pieces;
    endpoint_state* best = nullptr;
    auto best_end = time_point::max();
    for (auto& [id, one] : endpoints_) {
        if (!one.in_service || one.avoided || plan.passed_over.contains(id)) {
            continue;
        }
        auto free_at = std::max(plan.now, one.held_until);
        if (one.calls >= capacity_.calls) {
            free_at = std::max(free_at, one.busy_until);
        }
        if (const auto later = plan.busy_until.find(id); later != plan.busy_until.end()) {
            free_at = std::max(free_at, later->second);
        }
        auto end = free_at + scaled(nominal, slowdown_now(one, plan.now));
        if (one.contended) {
            // Its own dispatcher may have a call in progress there.
            end += service_time(capacity_.batch);
        }
        if (end < best_end) {
            best = &one;
            best_end = end;
        }
    }
    return best;
}

stage_call stage_queue::start(endpoint_state& where, const std::vector<call_piece>& pieces,
                              time_point now) {
    const auto nominal = capacity_.call_time + capacity_.piece_time * pieces.size();
    const auto expected = scaled(nominal, std::max(slowdown_now(where, now), 1.0));
    stage_call call;
    call.id = next_call_++;
    call.endpoint = where.self.id;
    call.address = where.self.address;
    call.expected = expected;
    call.timeout = scaled(expected, silence_factor) + silence_margin;
    for (const auto& one : pieces) {
        auto& state = groups_.at(one.group);
        ++state.attempts[one.index];
        call.pieces.push_back(state.group.pieces[one.index]);
        call.time_left.push_back(
            std::chrono::floor<milliseconds>(std::max(state.group.hard_deadline - now, duration{0})));
    }
    std::uint64_t bytes = 0;
    for (const auto& one : pieces) {
        bytes += groups_.at(one.group).group.result_bytes;
    }
    where.pending_bytes += bytes;
    call.room_left = free_room(where, now);
    ++where.calls;
    where.busy_until = now + expected;
    calls_[call.id] = {where.self.id,      where.self.life, pieces,        now,
                       scaled(nominal, 1), bytes,           call.room_left};
    return call;
}

// Plans calls in order, each at the endpoint that would end it first, until no idle endpoint is
// left without one. A call planned at a busy endpoint is not made now; it only keeps its pieces
// from an idle one that is so slow that waiting is better.
std::vector<stage_call> stage_queue::next_calls(time_point now) {
    expire(now);
    expire_results(now);
    auto idle = static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const auto& one) { return is_idle(one.second, now); }));
    std::vector<stage_call> started;
    auto pieces = idle == 0 ? 0 : waiting_pieces();
    if (pieces == 0) {
        return started;
    }
    auto order = in_order(now);
    planning plan{now, near_data_centres(now), {}, {}};
    std::vector<call_piece> returned;
    for (std::size_t step = 0; step < 2 * endpoints_.size() && idle > 0 && !order.empty(); ++step) {
        auto* const where = soonest(std::min(pieces, capacity_.batch), plan);
        if (where == nullptr) {
            break;
        }
        const bool starts = is_idle(*where, now) && !plan.busy_until.contains(where->self.id);
        // A later call's room is not known yet, so a planned call counts as if it had all.
        auto batch = take_batch(
            order, *where, starts ? free_room(*where, now) : capacity_.result_room_bytes, plan);
        if (batch.empty()) {
            plan.passed_over.insert(where->self.id);
            idle -= starts ? 1 : 0;
            continue;
        }
        pieces -= batch.size();
        if (starts) {
            started.push_back(start(*where, batch, now));
            if (where->calls >= capacity_.calls) {
                plan.busy_until[where->self.id] = where->busy_until;
                --idle;
            }
            continue;
        }
        const auto nominal = capacity_.call_time + capacity_.piece_time * batch.size();
        const auto free_at =
            std::max({now, where->held_until, where->busy_until, plan.busy_until[where->self.id]});
        plan.busy_until[where->self.id] = free_at + scaled(nominal, slowdown_now(*where, now));
        returned.insert(returned.end(), batch.begin(), batch.end());
    }
    for (const auto& one : returned) {
        groups_.at(one.group).waiting.push_back({one.index});
    }
    for (auto& call : started) {
        call.left_waiting = pieces + returned.size();
    }
    return started;
}

} // namespace boragefront::stages
