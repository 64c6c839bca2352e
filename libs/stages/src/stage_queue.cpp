#include "stages/stage_queue.hpp"

#include "backoff.hpp"
#include "catalog/registration.hpp"
#include "scaled_time.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragefront::stages {
namespace {

constexpr unsigned max_piece_attempts = 4; // then the piece, and with it its request, fails
constexpr double slowdown_weight = 0.4; // weight of the newest call in the slowdown of an endpoint
constexpr double min_slowdown = 0.4;
constexpr double max_slowdown = 20;
constexpr seconds slowdown_decay_time{6}; // after this a slow endpoint is tried again
constexpr milliseconds initial_backoff{150};
constexpr milliseconds max_backoff{3'000};
constexpr unsigned max_refusal_doublings = 3;
// Replaces `full_backoff` for a contended endpoint.
constexpr milliseconds contended_full_backoff{250};
constexpr milliseconds room_poll_interval{25}; // for endpoints without memory for results
constexpr milliseconds max_wakeup_delay{60'000};
constexpr milliseconds capacity_backoff_limit{
    500}; // an endpoint with a shorter back-off counts as capacity

} // namespace

stage_queue stage_queue::make(const catalog::stage_capacity& capacity) {
    stage_queue queue;
    queue.set_capacity(capacity);
    return queue;
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
    for (const auto& endpoint : endpoints) {
        if (endpoint.service != service) {
            continue;
        }
        listed.insert(endpoint.id);
        auto& kept = endpoints_[endpoint.id];
        if (kept.descriptor.incarnation != endpoint.incarnation ||
            kept.descriptor.address != endpoint.address) {
            kept = endpoint_state{};
        }
        kept.descriptor = endpoint;
        kept.contended = contended_.contains(endpoint.id);
        kept.evacuated = evacuated.contains(endpoint.data_centre);
    }
    std::erase_if(endpoints_, [&](const auto& item) { return !listed.contains(item.first); });
    update_avoided(now);
}

void stage_queue::set_avoided_data_centres(std::set<std::string, std::less<>> data_centres) {
    avoided_data_centres_ = std::move(data_centres);
}

bool stage_queue::in_service(const endpoint_state& endpoint, time_point now) {
    return !endpoint.evacuated &&
           catalog::status_of(endpoint.descriptor, now) != catalog::registration_status::withdrawn;
}

void stage_queue::update_avoided(time_point now) {
    bool any_not_avoided = false;
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.avoided = avoided_data_centres_.contains(endpoint.descriptor.data_centre);
        any_not_avoided = any_not_avoided || (in_service(endpoint, now) && !endpoint.avoided);
    }
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.avoided = endpoint.avoided && any_not_avoided;
    }
}

void stage_queue::set_contended(std::set<std::string, std::less<>> endpoints) {
    contended_ = std::move(endpoints);
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.contended = contended_.contains(id);
    }
}

milliseconds stage_queue::service_time(std::size_t pieces) const {
    const auto calls = (pieces + capacity_.batch - 1) / capacity_.batch;
    return scaled(capacity_.call_time * calls + capacity_.piece_time * pieces, 1);
}

double stage_queue::slowdown_now(const endpoint_state& endpoint, time_point now) const {
    const double age = std::chrono::duration<double>(now - endpoint.slowdown_at).count();
    const double decay_time = std::chrono::duration<double>(slowdown_decay_time).count();
    return 1 + (endpoint.slowdown - 1) * std::exp(-age / decay_time);
}

// Capacity of the service as a number of endpoints at nominal speed.
double stage_queue::capacity_endpoints(time_point now) const {
    double sum = 0;
    for (const auto& [id, endpoint] : endpoints_) {
        const bool usable = in_service(endpoint, now) && !endpoint.avoided && !endpoint.contended;
        if (usable && now + capacity_backoff_limit >= endpoint.backoff_until) {
            sum += 1 / std::max(slowdown_now(endpoint, now), 1.0);
        }
    }
    return sum;
}

// Time in which the service processes this number of pieces in full calls.
milliseconds stage_queue::queue_time(std::size_t pieces, time_point now) const {
    const double endpoints = std::max(capacity_endpoints(now), 0.5) * capacity_.calls;
    const double calls = static_cast<double>(pieces) / static_cast<double>(capacity_.batch);
    const auto full_call = capacity_.call_time + capacity_.piece_time * capacity_.batch;
    return scaled(full_call, calls / endpoints);
}

// Time until an endpoint in service is no longer backed off; 0 if none is in service, as one may
// return at any time.
milliseconds stage_queue::time_to_first_call(time_point now) const {
    std::optional<time_point> first;
    for (const auto& [id, endpoint] : endpoints_) {
        if (in_service(endpoint, now)) {
            first = std::min(first.value_or(endpoint.backoff_until), endpoint.backoff_until);
        }
    }
    return std::chrono::ceil<milliseconds>(std::max(first.value_or(now) - now, duration{0}));
}

admission stage_queue::offer(piece_group group, time_point now) {
    shares_.record_arrival(group.priority,
                           piece_cost(group) * static_cast<double>(group.pieces.size()), now);
    const auto own = service_time(group.pieces.size());
    std::size_t ahead = 0;
    for (const auto& [id, state] : groups_) {
        ahead += state.waiting.size();
    }
    const auto expected = std::max(queue_time(ahead, now), time_to_first_call(now)) + own;
    if (now + expected > group.hard_deadline) {
        return {false, expected, retry_after(expected, group, now)};
    }
    group_state state;
    state.results.resize(group.pieces.size());
    state.attempts.resize(group.pieces.size());
    state.unfinished = group.pieces.size();
    state.goal_was_feasible = now + own <= group.soft_deadline;
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
            orphaned_results_.push_back(result.handle);
        }
    }
    groups_.erase(found);
}

void stage_queue::finish_piece(std::uint64_t group, std::size_t index, piece_result result) {
    const auto found = groups_.find(group);
    if (found == groups_.end()) {
        if (!result.handle.empty()) {
            orphaned_results_.push_back(std::move(result.handle));
        }
        return;
    }
    auto& state = found->second;
    state.results[index] = std::move(result);
    if (--state.unfinished == 0) {
        finished_.push_back({group, std::move(state.results), false, {}});
        groups_.erase(found);
    }
}

// A refusal for lack of capacity is no evidence against the piece, so it does not count as an
// attempt.
void stage_queue::uncount_attempt(std::uint64_t group, std::size_t index) {
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
    if (found->second.attempts[index] >= max_piece_attempts) {
        finish_piece(group, index, {reason, {}});
        return;
    }
    found->second.waiting.push_back({index});
}

void stage_queue::update_slowdown(endpoint_state& endpoint, const call_state& call,
                                  time_point now) {
    const double elapsed = std::chrono::duration<double, std::milli>(now - call.started).count();
    const double ratio =
        std::clamp(elapsed / std::max<double>(1, static_cast<double>(call.nominal.count())),
                   min_slowdown, max_slowdown);
    const double before = slowdown_now(endpoint, now);
    endpoint.slowdown = before + slowdown_weight * (ratio - before);
    endpoint.slowdown_at = now;
}

void stage_queue::back_off(endpoint_state& endpoint, time_point now) {
    const auto doublings = std::min(endpoint.failures_in_row, 5U);
    ++endpoint.failures_in_row;
    endpoint.backoff_until = std::max(
        endpoint.backoff_until, now + std::min(initial_backoff * (1U << doublings), max_backoff));
}

void stage_queue::call_ended(std::uint64_t call, call_outcome outcome,
                             const std::vector<piece_result>& results, time_point now) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    calls_.erase(found);
    const auto found_endpoint = endpoints_.find(ended.endpoint);
    if (found_endpoint != endpoints_.end() &&
        found_endpoint->second.descriptor.incarnation == ended.incarnation) {
        auto& endpoint = found_endpoint->second;
        endpoint.calls -= std::min(endpoint.calls, 1U);
        endpoint.pending_bytes -= std::min(endpoint.pending_bytes, ended.bytes);
        switch (outcome) {
        case call_outcome::answered:
            endpoint.failures_in_row = 0;
            endpoint.refusals_in_row = 0;
            // A call whose pieces were refused for lack of memory ends at once and says nothing
            // about the speed of the endpoint.
            if (all_made(results)) {
                update_slowdown(endpoint, ended, now);
            }
            break;
        case call_outcome::refused:
            // Another queue uses the endpoint too, and each refusal costs both sides.
            endpoint.backoff_until = std::max(
                endpoint.backoff_until,
                now + (endpoint.contended ? contended_full_backoff : full_backoff) *
                          (1U << std::min(endpoint.refusals_in_row, max_refusal_doublings)));
            ++endpoint.refusals_in_row;
            break;
        case call_outcome::silent:
            update_slowdown(endpoint, ended, now);
            back_off(endpoint, now);
            break;
        case call_outcome::broken:
        case call_outcome::unreachable:
            back_off(endpoint, now);
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
                uncount_attempt(group, index);
            }
            retry_piece(group, index, piece_outcome::failed);
            continue;
        }
        const auto& result = results[i];
        const bool again =
            result.outcome == piece_outcome::failed || result.outcome == piece_outcome::no_room;
        if (again) {
            if (result.outcome == piece_outcome::no_room) {
                uncount_attempt(group, index);
                ++pieces_without_room;
            }
            retry_piece(group, index, result.outcome);
        } else {
            if (!result.handle.empty()) {
                track_result(ended.endpoint, result.handle, ended.bytes / ended.pieces.size(), now);
            }
            finish_piece(group, index, result);
        }
    }
    if (pieces_without_room > 0 && found_endpoint != endpoints_.end()) {
        const auto shortage = ended.bytes / ended.pieces.size() * pieces_without_room;
        record_room_shortage(found_endpoint->second, ended.room_left + shortage, now);
    }
}

void stage_queue::on_retry_after(const std::string& endpoint, milliseconds retry_after,
                                 time_point now) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        found->second.backoff_until = std::max(found->second.backoff_until, now + retry_after);
    }
}

void stage_queue::set_call_intervals(std::map<std::string, milliseconds, std::less<>> intervals) {
    for (auto& [id, endpoint] : endpoints_) {
        const auto found = intervals.find(id);
        if (found != intervals.end()) {
            endpoint.backoff_until =
                std::max(endpoint.backoff_until, endpoint.last_call_at + found->second);
        }
    }
    call_intervals_ = std::move(intervals);
}

std::vector<finished_group> stage_queue::take_finished(time_point now) {
    expire_overdue(now);
    expire_hopeless(now);
    return std::exchange(finished_, {});
}

std::vector<std::string> stage_queue::take_orphaned_results() {
    return std::exchange(orphaned_results_, {});
}

time_point stage_queue::next_wakeup(time_point now) const {
    auto earliest = now + max_wakeup_delay;
    const bool waits = std::any_of(groups_.begin(), groups_.end(),
                                   [](const auto& item) { return !item.second.waiting.empty(); });
    if (!waits) {
        return earliest;
    }
    for (const auto& [id, endpoint] : endpoints_) {
        if (in_service(endpoint, now) && endpoint.backoff_until > now) {
            earliest = std::min(earliest, endpoint.backoff_until);
        }
        const bool lacks_room = endpoint.held_bytes > 0 || endpoint.unaccounted_bytes > 0;
        if (in_service(endpoint, now) && endpoint.calls < capacity_.calls && lacks_room) {
            earliest = std::min(earliest, now + room_poll_interval);
        }
    }
    for (const auto& [id, state] : groups_) {
        if (!state.waiting.empty()) {
            earliest = std::min(earliest, state.group.hard_deadline - service_time(1));
            if (!state.group.near_data_centre.empty()) {
                earliest = std::min(earliest, now + room_poll_interval);
            }
        }
    }
    return earliest;
}

bool stage_queue::has_endpoint_in_service(time_point now) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](const auto& item) { return in_service(item.second, now); });
}

std::size_t stage_queue::waiting_pieces() const {
    std::size_t count = 0;
    for (const auto& [id, state] : groups_) {
        count += state.waiting.size();
    }
    return count;
}

} // namespace boragefront::stages
