#include "stages/stage_queue.hpp"

#include "queue_times.hpp"
#include "scaled_time.hpp"

#include <algorithm>
#include <cmath>
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
// The same as `full_hold`, for an endpoint that another queue has a right to.
constexpr milliseconds contended_full_hold{250};
constexpr milliseconds room_look{25};        // until an endpoint without room is looked at again
constexpr milliseconds missing_grace{1'200}; // as for endpoints that missed the platform's list
constexpr milliseconds far_away{60'000};
constexpr milliseconds hopeless_look{50}; // between looks for groups that cannot be made in time
constexpr milliseconds short_hold{500};   // an endpoint that is held for less counts as capacity

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
        kept.contended = contended_.contains(one.id);
        const bool missing = one.removed_at && now - *one.removed_at > missing_grace;
        kept.in_service = one.state == catalog::endpoint_state::ready && !missing &&
                          !evacuated.contains(one.data_centre);
    }
    std::erase_if(endpoints_, [&](const auto& one) { return !listed.contains(one.first); });
    mark_avoided();
}

void stage_queue::set_unreachable_data_centres(std::set<std::string, std::less<>> data_centres) {
    if (data_centres != avoided_) {
        avoided_ = std::move(data_centres);
        mark_avoided();
    }
}

void stage_queue::mark_avoided() {
    bool others = false;
    for (auto& [id, one] : endpoints_) {
        one.avoided = avoided_.contains(one.self.data_centre);
        others = others || (one.in_service && !one.avoided);
    }
    for (auto& [id, one] : endpoints_) {
        one.avoided = one.avoided && others;
    }
}

void stage_queue::set_contended(std::set<std::string, std::less<>> endpoints) {
    contended_ = std::move(endpoints);
    for (auto& [id, one] : endpoints_) {
        one.contended = contended_.contains(id);
    }
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
        const bool usable = one.in_service && !one.avoided && !one.contended;
        if (usable && now + short_hold >= one.held_until) {
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
    if (now + expected > group.hard_deadline) {
        return {false, expected, retry_after(expected, group, now)};
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

// When a group with as much time as this one has left would be made.
milliseconds stage_queue::retry_after(milliseconds expected, const piece_group& group,
                                      time_point now) const {
    const auto left = std::max(group.hard_deadline - now, duration{0});
    return std::chrono::ceil<milliseconds>(std::max(expected - left, duration{0}));
}

void stage_queue::give_up(std::map<std::uint64_t, group_state>::iterator group,
                          milliseconds after) {
    for (const auto& result : group->second.results) {
        if (!result.handle.empty()) {
            orphans_.push_back(result.handle);
        }
    }
    finished_.push_back(
        {group->first, {}, true, group->second.group.pieces.front().request_id, after});
    groups_.erase(group);
}

void stage_queue::expire(time_point now) {
    for (auto entry = groups_.begin(); entry != groups_.end();) {
        const auto one = entry++;
        const bool waits = !one->second.waiting.empty();
        if (waits && now + service_time(1) > one->second.group.hard_deadline) {
            give_up(one, queue_time(waiting_pieces(), now));
        }
    }
}

// Groups to which those before them leave no time. Later arrivals can only push them further back,
// so their callers are told now rather than at the end of their time.
void stage_queue::refuse_hopeless(time_point now) {
    if (now < next_hopeless_look_ || waiting_pieces() <= capacity_.batch) {
        return;
    }
    next_hopeless_look_ = now + hopeless_look;
    std::size_t ahead = 0;
    for (auto* const one : in_order(now)) {
        const auto pieces = one->waiting.size();
        const auto expected = queue_time(ahead, now) + service_time(pieces);
        const bool begun = one->open > pieces; // some of it is being made
        if (!begun && now + expected > one->group.hard_deadline) {
            give_up(groups_.find(one->group.id), retry_after(expected, one->group, now));
        } else {
            ahead += pieces;
        }
    }
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
            one.held_until = now + (one.contended ? contended_full_hold : full_hold) *
                                       (1U << std::min(one.refusals_in_row, most_doublings));
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
    std::uint64_t pieces_without_room = 0;
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
                ++pieces_without_room;
            }
            retry_piece(group, index, result.outcome);
        } else {
            if (!result.handle.empty()) {
                hold_result(ended.endpoint, result.handle, ended.bytes / ended.pieces.size(), now);
            }
            finish_piece(group, index, result);
        }
    }
    if (pieces_without_room > 0 && place != endpoints_.end()) {
        const auto lacking = ended.bytes / ended.pieces.size() * pieces_without_room;
        note_no_room(place->second, ended.room_left + lacking, now);
    }
}

std::vector<finished_group> stage_queue::take_finished(time_point now) {
    expire(now);
    refuse_hopeless(now);
    return std::exchange(finished_, {});
}

std::vector<std::string> stage_queue::take_orphaned_results() {
    return std::exchange(orphans_, {});
}

time_point stage_queue::next_wakeup(time_point now) const {
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
        const bool lacks_room = one.held_bytes > 0 || one.foreign_bytes > 0;
        if (one.in_service && one.calls < capacity_.calls && lacks_room) {
            earliest = std::min(earliest, now + room_look);
        }
    }
    for (const auto& [id, one] : groups_) {
        if (!one.waiting.empty()) {
            earliest = std::min(earliest, one.group.hard_deadline - service_time(1));
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
