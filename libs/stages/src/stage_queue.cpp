#include "stages/stage_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <utility>

namespace boragefront::stages {
namespace {

constexpr unsigned piece_attempts = 4; // a piece that failed so often fails its request
constexpr double pace_weight = 0.4;    // of the newest call, in an endpoint's slowdown
constexpr double least_slowdown = 0.4;
constexpr double most_slowdown = 20;
constexpr seconds slowdown_memory{6}; // an endpoint that was slow is tried again after this
constexpr milliseconds first_hold{150};
constexpr milliseconds longest_hold{3'000};
constexpr unsigned most_doublings = 3;
constexpr milliseconds full_hold{40}; // until a full endpoint is asked again
constexpr milliseconds room_look{25}; // until an endpoint without room is looked at again
constexpr double near_wait_calls =
    1.5; // full calls that a nearby endpoint may need until it is free
constexpr double near_slowdown_limit = 2; // a slower one is not waited for
constexpr milliseconds silence_margin{250};
constexpr double silence_factor = 2.5;       // times the expected time until a call counts as lost
constexpr milliseconds missing_grace{1'200}; // as for endpoints that missed the platform's list
constexpr milliseconds far_away{60'000};

bool all_made(const std::vector<piece_result>& results) {
    return std::all_of(results.begin(), results.end(),
                       [](const piece_result& one) { return one.outcome == piece_outcome::made; });
}

milliseconds scaled(microseconds time, double factor) {
    return milliseconds{
        static_cast<std::int64_t>(std::ceil(static_cast<double>(time.count()) * factor / 1'000))};
}

} // namespace

stage_queue stage_queue::make(const catalog::stage_capacity& capacity) {
    stage_queue made;
    made.set_capacity(capacity);
    return made;
}

void stage_queue::set_capacity(const catalog::stage_capacity& capacity) {
    capacity_ = capacity;
    capacity_.batch = std::max<std::size_t>(capacity_.batch, 1);
    capacity_.calls = std::max(capacity_.calls, 1U);
}

void stage_queue::set_endpoints(const std::vector<catalog::endpoint>& endpoints,
                                const std::set<std::string, std::less<>>& evacuated,
                                const std::string& service, time_point now) {
    std::set<std::string> listed;
    for (const auto& one : endpoints) {
        if (one.service != service) {
            continue;
        }
        listed.insert(one.id);
        auto& kept = endpoints_[one.id];
        if (kept.self.life != one.life || kept.self.address != one.address) {
            kept = endpoint_state{};
        }
        kept.self = one;
        const bool missing = one.removed_at && now - *one.removed_at > missing_grace;
        kept.in_service = one.state == catalog::endpoint_state::ready && !missing &&
                          !evacuated.contains(one.data_centre);
    }
    std::erase_if(endpoints_, [&](const auto& one) { return !listed.contains(one.first); });
}

milliseconds stage_queue::service_time(std::size_t pieces) const {
    const auto calls = (pieces + capacity_.batch - 1) / capacity_.batch;
    return scaled(capacity_.call_time * calls + capacity_.piece_time * pieces, 1);
}

double stage_queue::slowdown_now(const endpoint_state& one, time_point now) const {
    const double age = std::chrono::duration<double>(now - one.slowdown_at).count();
    const double memory = std::chrono::duration<double>(slowdown_memory).count();
    return 1 + (one.slowdown - 1) * std::exp(-age / memory);
}

// How many sound endpoints the service is worth now.
double stage_queue::capacity_endpoints(time_point now) const {
    double sum = 0;
    for (const auto& [id, one] : endpoints_) {
        if (one.in_service && now >= one.held_until) {
            sum += 1 / std::max(slowdown_now(one, now), 1.0);
        }
    }
    return sum;
}

// How long the service takes for so many pieces in full calls.
milliseconds stage_queue::queue_time(std::size_t pieces, time_point now) const {
    const double endpoints = std::max(capacity_endpoints(now), 0.5) * capacity_.calls;
    const double calls = static_cast<double>(pieces) / static_cast<double>(capacity_.batch);
    const auto full_call = capacity_.call_time + capacity_.piece_time * capacity_.batch;
    return scaled(full_call, calls / endpoints);
}

admission stage_queue::offer(piece_group group, time_point now) {
    const auto own = service_time(group.pieces.size());
    std::size_t ahead = 0;
    for (const auto& [id, one] : groups_) {
        ahead += one.waiting.size();
    }
    const auto expected = queue_time(ahead, now) + own;
    if (now + expected > group.useless_at) {
        const auto fits = now + expected - (group.useless_at - now);
        return {false, expected, std::chrono::ceil<milliseconds>(std::max(fits, now) - now)};
    }
    group_state state;
    state.results.resize(group.pieces.size());
    state.attempts.resize(group.pieces.size());
    state.open = group.pieces.size();
    for (std::size_t i = 0; i < group.pieces.size(); ++i) {
        state.waiting.push_back({i});
    }
    const auto id = group.id;
    state.group = std::move(group);
    groups_.insert_or_assign(id, std::move(state));
    return {true, expected, milliseconds{0}};
}

void stage_queue::cancel(std::uint64_t group) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return;
    }
    for (const auto& result : found->second.results) {
        if (!result.handle.empty()) {
            orphans_.push_back(result.handle);
        }
    }
    groups_.erase(found);
}

void stage_queue::expire(time_point now) {
    for (auto entry = groups_.begin(); entry != groups_.end();) {
        auto& [id, one] = *entry;
        const bool waits = !one.waiting.empty();
        if (waits && now + service_time(1) > one.group.useless_at) {
            for (const auto& result : one.results) {
                if (!result.handle.empty()) {
                    orphans_.push_back(result.handle);
                }
            }
            finished_.push_back({id, {}, true, one.group.pieces.front().request_id});
            entry = groups_.erase(entry);
        } else {
            ++entry;
        }
    }
}

std::vector<stage_queue::group_state*> stage_queue::in_order(time_point now) {
    using rank = std::tuple<bool, int, std::size_t, time_point, std::uint64_t>;
    std::vector<std::pair<rank, group_state*>> ranked;
    ranked.reserve(groups_.size());
    for (auto& [id, one] : groups_) {
        if (!one.waiting.empty()) {
            const bool late = now + service_time(one.waiting.size()) > one.group.wanted_by;
            ranked.emplace_back(
                rank{late, one.group.priority, one.waiting.size(), one.group.wanted_by, id}, &one);
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
    return one.in_service && one.calls < capacity_.calls && now >= one.held_until;
}

// The data centres with an endpoint that is worth waiting for.
std::set<std::string, std::less<>> stage_queue::near_data_centres(time_point now) const {
    std::set<std::string, std::less<>> usable;
    for (const auto& [id, one] : endpoints_) {
        if (one.in_service && now >= one.held_until &&
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
    const auto slack = one.group.wanted_by - plan.now - service_time(one.waiting.size());
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

// Memory for results that nothing uses, as far as this queue knows.
std::uint64_t stage_queue::free_room(const endpoint_state& one) const {
    const auto used = one.held_bytes + one.pending_bytes;
    return capacity_.result_room_bytes - std::min(capacity_.result_room_bytes, used);
}

void stage_queue::hold_result(const std::string& endpoint, const std::string& handle,
                              std::uint64_t bytes, time_point now) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        found->second.held_bytes += bytes;
        held_.insert_or_assign(handle,
                               held_result{endpoint, bytes, now + capacity_.result_lifetime});
    }
}

void stage_queue::release(const std::vector<std::string>& handles) {
    for (const auto& handle : handles) {
        const auto found = held_.find(handle);
        if (found == held_.end()) {
            continue;
        }
        const auto place = endpoints_.find(found->second.endpoint);
        if (place != endpoints_.end()) {
            auto& held = place->second.held_bytes;
            held -= std::min(held, found->second.bytes);
        }
        held_.erase(found);
    }
}

// Makers drop results that nobody frees.
void stage_queue::expire_results(time_point now) {
    std::vector<std::string> expired;
    for (const auto& [handle, one] : held_) {
        if (one.expires_at <= now) {
            expired.push_back(handle);
        }
    }
    release(expired);
}

stage_queue::endpoint_state* stage_queue::soonest(std::size_t pieces, const planning& plan) {
    const auto nominal = capacity_.call_time + capacity_.piece_time * pieces;
    endpoint_state* best = nullptr;
    auto best_end = time_point::max();
    for (auto& [id, one] : endpoints_) {
        if (!one.in_service || plan.passed_over.contains(id)) {
            continue;
        }
        auto free_at = std::max(plan.now, one.held_until);
        if (one.calls >= capacity_.calls) {
            free_at = std::max(free_at, one.busy_until);
        }
        if (const auto later = plan.busy_until.find(id); later != plan.busy_until.end()) {
            free_at = std::max(free_at, later->second);
        }
        const auto end = free_at + scaled(nominal, slowdown_now(one, plan.now));
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
    call.give_up_after = scaled(expected, silence_factor) + silence_margin;
    for (const auto& one : pieces) {
        auto& state = groups_.at(one.group);
        ++state.attempts[one.index];
        call.pieces.push_back(state.group.pieces[one.index]);
        call.time_left.push_back(
            std::chrono::floor<milliseconds>(std::max(state.group.useless_at - now, duration{0})));
    }
    std::uint64_t bytes = 0;
    for (const auto& one : pieces) {
        bytes += groups_.at(one.group).group.result_bytes;
    }
    where.pending_bytes += bytes;
    call.room_left = free_room(where);
    ++where.calls;
    where.busy_until = now + expected;
    calls_[call.id] = {where.self.id, where.self.life, pieces, now, scaled(nominal, 1), bytes};
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
        auto batch = take_batch(order, *where,
                                starts ? free_room(*where) : capacity_.result_room_bytes, plan);
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

void stage_queue::finish_piece(std::uint64_t group, std::size_t index, piece_result result) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        if (!result.handle.empty()) {
            orphans_.push_back(std::move(result.handle));
        }
        return;
    }
    auto& state = found->second;
    state.results[index] = std::move(result);
    if (--state.open == 0) {
        finished_.push_back({group, std::move(state.results), false, {}});
        groups_.erase(found);
    }
}

// An endpoint that had no place for a piece says nothing against the piece.
void stage_queue::forgive_attempt(std::uint64_t group, std::size_t index) {
    const auto found = groups_.find(group);
    if (found != groups_.end() && found->second.attempts[index] > 0) {
        --found->second.attempts[index];
    }
}

void stage_queue::retry_piece(std::uint64_t group, std::size_t index, piece_outcome reason) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        return;
    }
    if (found->second.attempts[index] >= piece_attempts) {
        finish_piece(group, index, {reason, {}});
        return;
    }
    found->second.waiting.push_back({index});
}

void stage_queue::learn_pace(endpoint_state& one, const call_state& call, time_point now) {
    const double took = std::chrono::duration<double, std::milli>(now - call.started).count();
    const double ratio =
        std::clamp(took / std::max<double>(1, static_cast<double>(call.nominal.count())),
                   least_slowdown, most_slowdown);
    const double before = slowdown_now(one, now);
    one.slowdown = before + pace_weight * (ratio - before);
    one.slowdown_at = now;
}

void stage_queue::hold(endpoint_state& one, time_point now) {
    const auto doublings = std::min(one.failures_in_row, 5U);
    ++one.failures_in_row;
    one.held_until = now + std::min(first_hold * (1U << doublings), longest_hold);
}

void stage_queue::call_ended(std::uint64_t call, call_outcome outcome,
                             const std::vector<piece_result>& results, time_point now) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    calls_.erase(found);
    const auto place = endpoints_.find(ended.endpoint);
    if (place != endpoints_.end() && place->second.self.life == ended.life) {
        auto& one = place->second;
        one.calls -= std::min(one.calls, 1U);
        one.pending_bytes -= std::min(one.pending_bytes, ended.bytes);
        switch (outcome) {
        case call_outcome::answered:
            one.failures_in_row = 0;
            one.refusals_in_row = 0;
            // A call whose pieces were refused for want of room ends at once.
            if (all_made(results)) {
                learn_pace(one, ended, now);
            }
            break;
        case call_outcome::refused:
            // Another queue uses it too, and each refusal costs both sides.
            one.held_until =
                now + full_hold * (1U << std::min(one.refusals_in_row, most_doublings));
            ++one.refusals_in_row;
            break;
        case call_outcome::silent:
            learn_pace(one, ended, now);
            hold(one, now);
            break;
        case call_outcome::broken:
        case call_outcome::unreachable:
            hold(one, now);
            break;
        }
    }
    const bool answered =
        outcome == call_outcome::answered && results.size() == ended.pieces.size();
    for (std::size_t i = 0; i < ended.pieces.size(); ++i) {
        const auto& [group, index] = ended.pieces[i];
        if (!answered) {
            if (outcome == call_outcome::refused) {
                forgive_attempt(group, index);
            }
            retry_piece(group, index, piece_outcome::failed);
            continue;
        }
        const auto& result = results[i];
        const bool again =
            result.outcome == piece_outcome::failed || result.outcome == piece_outcome::no_room;
        if (again) {
            if (result.outcome == piece_outcome::no_room) {
                forgive_attempt(group, index);
                if (place != endpoints_.end()) {
                    place->second.held_until = now + full_hold;
                }
            }
            retry_piece(group, index, result.outcome);
        } else {
            if (!result.handle.empty()) {
                hold_result(ended.endpoint, result.handle, ended.bytes / ended.pieces.size(), now);
            }
            finish_piece(group, index, result);
        }
    }
}

std::vector<finished_group> stage_queue::take_finished(time_point now) {
    expire(now);
    return std::exchange(finished_, {});
}

std::vector<std::string> stage_queue::take_orphans() {
    return std::exchange(orphans_, {});
}

time_point stage_queue::next_event(time_point now) const {
    auto earliest = now + far_away;
    const bool waits = std::any_of(groups_.begin(), groups_.end(),
                                   [](const auto& one) { return !one.second.waiting.empty(); });
    if (!waits) {
        return earliest;
    }
    for (const auto& [id, one] : endpoints_) {
        if (one.in_service && one.held_until > now) {
            earliest = std::min(earliest, one.held_until);
        }
        if (one.in_service && one.calls < capacity_.calls && one.held_bytes > 0) {
            earliest = std::min(earliest, now + room_look);
        }
    }
    for (const auto& [id, one] : groups_) {
        if (!one.waiting.empty()) {
            earliest = std::min(earliest, one.group.useless_at - service_time(1));
            if (!one.group.near_data_centre.empty()) {
                earliest = std::min(earliest, now + room_look);
            }
        }
    }
    return earliest;
}

std::size_t stage_queue::waiting_pieces() const {
    std::size_t count = 0;
    for (const auto& [id, one] : groups_) {
        count += one.waiting.size();
    }
    return count;
}

} // namespace boragefront::stages
