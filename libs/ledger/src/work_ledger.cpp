/// \file
#include "ledger/work_ledger.hpp"

#include <algorithm>

namespace boragefront::ledger {
namespace {

bool did_not_run(const outcome& result) {
    const auto* failure = std::get_if<error>(&result);
    return failure != nullptr && failure->ran == work_ran::no;
}

error dropped_answer() {
    return make_error(error_kind::outcome_unknown, work_ran::yes,
                      "the work ran, but its answer is no longer stored");
}

error evicted_work() {
    return make_error(error_kind::outcome_unknown,
                      "the work identity is older than the retained record");
}

error released_key() {
    return make_error(error_kind::outcome_unknown,
                      "the idempotency key was released to another instance");
}

std::optional<error> key_problem(const key_state& state, const submitted_work& work) {
    const auto* used = std::get_if<used_key>(&state);
    if (used != nullptr && used->released) {
        return released_key();
    }
    if (used != nullptr && used->body_hash != work.body_hash) {
        return make_error(error_kind::conflict,
                          "the idempotency key was used with another request");
    }
    if (std::holds_alternative<unverifiable_key>(state)) {
        return make_error(error_kind::outcome_unknown,
                          "the idempotency key is older than the retained record");
    }
    if (std::holds_alternative<unused_key>(state) && !work.key_exclusive) {
        return make_error(error_kind::outcome_unknown,
                          "the idempotency key may have been used at another instance");
    }
    if (std::holds_alternative<future_key>(state)) {
        return make_error(error_kind::bad_request,
                          "the timestamp in the idempotency key is in the future",
                          "Idempotency-Key");
    }
    return std::nullopt;
}

} // namespace

work_ledger::work_ledger(ledger_policy policy, wall_time started)
    : policy_{policy}, keys_{policy.keys, started} {}

work_response work_ledger::submit(const submitted_work& work, clock_reading now) {
    const auto found = entries_.find(work.id);
    if (found != entries_.end() && policy_.check_identities) {
        return response_for(work.id, found->second);
    }
    if (may_be_evicted(work.id)) {
        return refuse_new(work.id, evicted_work(), work.expires_at, now);
    }
    if (!work.key.empty()) {
        const auto state = keys_.find(work.key, work.key_id, now.wall);
        if (auto problem = key_problem(state, work)) {
            return refuse_new(work.id, std::move(*problem), work.expires_at, now);
        }
        if (const auto* used = std::get_if<used_key>(&state);
            used != nullptr && used->first != work.id) {
            auto& retry = add_entry(work.id, work.expires_at, now);
            retry.duplicate_of = used->first;
            return response_for(work.id, retry);
        }
    }
    if (entries_.size() >= policy_.max_entries) {
        auto full = make_error(error_kind::over_limit, "the work ledger is full");
        return refuse_new(work.id, std::move(full), work.expires_at, now);
    }
    if (!work.key.empty()) {
        keys_.add(work.key, work.key_id, {work.id, work.body_hash});
    }
    auto& added = add_entry(work.id, work.expires_at, now);
    added.key = work.key;
    return admitted{};
}

work_response work_ledger::release(const submitted_work& work, clock_reading now) {
    const auto found = entries_.find(work.id);
    if (found != entries_.end()) {
        return response_for(work.id, found->second);
    }
    auto released =
        make_error(error_kind::not_run, "the work of the key did not and will not run here");
    const auto state = keys_.find(work.key, work.key_id, now.wall);
    if (const auto* used = std::get_if<used_key>(&state)) {
        return used->released ? refuse_new(work.id, std::move(released), work.expires_at, now)
                              : submit(work, now);
    }
    if (!std::holds_alternative<unused_key>(state) || may_be_evicted(work.id)) {
        return submit(work, now);
    }
    keys_.add(work.key, work.key_id, {work.id, work.body_hash, true});
    return refuse_new(work.id, std::move(released), work.expires_at, now);
}

work_response work_ledger::query(const work_id& id, clock_reading now) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return response_for(id, found->second);
    }
    if (may_be_evicted(id)) {
        return settled{evicted_work()};
    }
    auto reason = make_error(error_kind::not_run, "the work was never received");
    return refuse_new(id, std::move(reason), now.steady, now);
}

work_response work_ledger::refuse(const work_id& id, error reason, clock_reading now) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        if (may_be_evicted(id)) {
            return settled{evicted_work()};
        }
        return refuse_new(id, std::move(reason), now.steady, now);
    }
    auto& waiting = found->second;
    if (waiting.duplicate_of || waiting.state != work_state::admitted) {
        return response_for(id, waiting);
    }
    waiting.state = work_state::refused;
    keys_.remove(waiting.key);
    waiting.result = std::move(reason);
    schedule_eviction(id, waiting, now.steady);
    return settled{waiting.result};
}

bool work_ledger::start(const work_id& id) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.state != work_state::admitted ||
        found->second.duplicate_of) {
        return false;
    }
    found->second.state = work_state::running;
    return true;
}

void work_ledger::finish(const work_id& id, outcome result, clock_reading now) {
    auto& ended = entries_[id];
    ended.state = work_state::finished;
    ended.result = std::move(result);
    if (did_not_run(ended.result)) {
        keys_.remove(ended.key);
    }
    store_answer(id, ended);
    schedule_eviction(id, ended, now.steady);
}

void work_ledger::acknowledge(const work_id& id) {
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.key.empty()) {
        drop_answer(found->second);
    }
}

void work_ledger::evict_expired(clock_reading now) {
    while (!eviction_order_.empty() && eviction_order_.begin()->first <= now.steady) {
        const auto id = eviction_order_.begin()->second;
        eviction_order_.erase(eviction_order_.begin());
        const auto found = entries_.find(id);
        if (found == entries_.end() || found->second.evict_at > now.steady ||
            found->second.state == work_state::admitted ||
            found->second.state == work_state::running) {
            continue;
        }
        drop_answer(found->second);
        entries_.erase(found);
        const auto request_time = uuid7_time(id.request).value_or(now.wall);
        evicted_up_to_ = std::max(evicted_up_to_.value_or(request_time), request_time);
    }
    keys_.evict_expired(now.wall);
}

bool work_ledger::contains(const submitted_work& work) const {
    return entries_.contains(work.id) || (!work.key.empty() && keys_.contains(work.key));
}

std::optional<work_state> work_ledger::state_of(const work_id& id) const {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return found->second.state;
}

std::optional<outcome> work_ledger::outcome_of(const work_id& id) const {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    const auto response = response_for(id, found->second);
    const auto* ended = std::get_if<settled>(&response);
    return ended == nullptr ? std::nullopt : std::optional{ended->result};
}

ledger_sizes work_ledger::sizes() const {
    return {entries_.size(), keys_.size(), answer_bytes_, answers_dropped_};
}

work_response work_ledger::response_for(const work_id& id, const entry& found) const {
    if (found.duplicate_of) {
        const auto first = entries_.find(*found.duplicate_of);
        if (first == entries_.end()) {
            return settled{dropped_answer()};
        }
        return response_for(*found.duplicate_of, first->second);
    }
    if (found.state == work_state::admitted || found.state == work_state::running) {
        return in_progress{id};
    }
    return settled{found.result};
}

work_response work_ledger::refuse_new(const work_id& id, error reason, time_point expires_at,
                                      clock_reading now) {
    auto& refused = add_entry(id, expires_at, now);
    refused.state = work_state::refused;
    refused.result = std::move(reason);
    return settled{refused.result};
}

bool work_ledger::may_be_evicted(const work_id& id) const {
    if (!evicted_up_to_) {
        return false;
    }
    const auto request_time = uuid7_time(id.request);
    return !request_time || *request_time <= *evicted_up_to_;
}

work_ledger::entry& work_ledger::add_entry(const work_id& id, time_point expires_at,
                                           clock_reading now) {
    auto& added = entries_[id];
    added = entry{};
    schedule_eviction(id, added, std::max(expires_at, now.steady));
    return added;
}

// Work with a key is kept as long as the key, since a retry with the key must find its outcome.
void work_ledger::schedule_eviction(const work_id& id, entry& target, time_point from) {
    const auto retention = target.key.empty() ? policy_.retention : policy_.keys.retention;
    target.evict_at = std::max(target.evict_at, from + retention);
    eviction_order_.emplace(target.evict_at, id);
}

void work_ledger::store_answer(const work_id& id, entry& target) {
    if (const auto* kept = std::get_if<answer>(&target.result)) {
        target.has_answer = true;
        answer_bytes_ += kept->body.size();
        answers_.push_back(id);
        drop_oldest_answers();
    }
}

void work_ledger::drop_answer(entry& target) {
    if (!target.has_answer) {
        return;
    }
    target.has_answer = false;
    answer_bytes_ -= std::get<answer>(target.result).body.size();
    target.result = dropped_answer();
}

void work_ledger::drop_oldest_answers() {
    while (answer_bytes_ > policy_.max_answer_bytes && !answers_.empty()) {
        const auto found = entries_.find(answers_.front());
        answers_.pop_front();
        if (found != entries_.end() && found->second.has_answer) {
            drop_answer(found->second);
            ++answers_dropped_;
        }
    }
}

} // namespace boragefront::ledger
