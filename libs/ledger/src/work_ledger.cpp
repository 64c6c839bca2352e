/// \file
/// Implementation of the record of work by identity.
#include "ledger/work_ledger.hpp"

#include <algorithm>

namespace boragefront::ledger {
namespace {

bool never_ran(const outcome& what) {
    const auto* failure = std::get_if<error>(&what);
    return failure != nullptr && failure->ran == work_ran::no;
}

error dropped_answer() {
    return make_error(error_kind::outcome_unknown, work_ran::yes,
                      "the work ran and its answer is no longer kept");
}

error forgotten_work() {
    return make_error(error_kind::outcome_unknown, "the identity is older than the record");
}

error released_key() {
    return make_error(error_kind::outcome_unknown, "the key was given up to another home");
}

std::optional<error> key_problem(const key_state& state, const work_arrival& work) {
    const auto* used = std::get_if<used_key>(&state);
    if (used != nullptr && used->released) {
        return released_key();
    }
    if (used != nullptr && used->body_hash != work.body_hash) {
        return make_error(error_kind::conflict, "the key was used with another request");
    }
    if (std::holds_alternative<unvouched_key>(state)) {
        return make_error(error_kind::outcome_unknown, "the key is older than the record of keys");
    }
    if (std::holds_alternative<unused_key>(state) && !work.key_vouched) {
        return make_error(error_kind::outcome_unknown, "the key may have been used elsewhere");
    }
    if (std::holds_alternative<early_key>(state)) {
        return make_error(error_kind::bad_request, "the time in the key lies in the future",
                          "Idempotency-Key");
    }
    return std::nullopt;
}

} // namespace

work_ledger::work_ledger(ledger_policy policy, wall_time started)
    : policy_{policy}, keys_{policy.keys, started} {}

arrival work_ledger::arrive(const work_arrival& work, clock_reading now) {
    const auto found = entries_.find(work.id);
    if (found != entries_.end() && policy_.remember_identities) {
        return known(work.id, found->second);
    }
    if (may_have_forgotten(work.id)) {
        return refused_unseen(work.id, forgotten_work(), work.expires_at, now);
    }
    if (!work.key.empty()) {
        const auto state = keys_.find(work.key, work.key_id, now.wall);
        if (auto problem = key_problem(state, work)) {
            return refused_unseen(work.id, std::move(*problem), work.expires_at, now);
        }
        if (const auto* used = std::get_if<used_key>(&state);
            used != nullptr && used->first != work.id) {
            auto& retry = record(work.id, work.expires_at, now);
            retry.same_as = used->first;
            return known(work.id, retry);
        }
    }
    if (entries_.size() >= policy_.entries) {
        auto full = make_error(error_kind::over_limit, "the ledger is full");
        return refused_unseen(work.id, std::move(full), work.expires_at, now);
    }
    if (!work.key.empty()) {
        keys_.add(work.key, work.key_id, {work.id, work.body_hash});
    }
    auto& added = record(work.id, work.expires_at, now);
    added.key = work.key;
    return admitted{};
}

arrival work_ledger::release(const work_arrival& work, clock_reading now) {
    const auto found = entries_.find(work.id);
    if (found != entries_.end()) {
        return known(work.id, found->second);
    }
    auto given_up = make_error(error_kind::not_run, "the key never ran here and never will");
    const auto state = keys_.find(work.key, work.key_id, now.wall);
    if (const auto* used = std::get_if<used_key>(&state)) {
        return used->released ? refused_unseen(work.id, std::move(given_up), work.expires_at, now)
                              : arrive(work, now);
    }
    if (!std::holds_alternative<unused_key>(state) || may_have_forgotten(work.id)) {
        return arrive(work, now);
    }
    keys_.add(work.key, work.key_id, {work.id, work.body_hash, true});
    return refused_unseen(work.id, std::move(given_up), work.expires_at, now);
}

arrival work_ledger::ask(const work_id& id, clock_reading now) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return known(id, found->second);
    }
    if (may_have_forgotten(id)) {
        return settled{forgotten_work()};
    }
    auto reason = make_error(error_kind::not_run, "the work never arrived");
    return refused_unseen(id, std::move(reason), now.steady, now);
}

arrival work_ledger::refuse(const work_id& id, error reason, clock_reading now) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        if (may_have_forgotten(id)) {
            return settled{forgotten_work()};
        }
        return refused_unseen(id, std::move(reason), now.steady, now);
    }
    auto& waiting = found->second;
    if (waiting.same_as || waiting.state != work_state::admitted) {
        return known(id, waiting);
    }
    waiting.state = work_state::refused;
    keys_.remove(waiting.key);
    waiting.what = std::move(reason);
    forget_after_retention(id, waiting, now.steady);
    return settled{waiting.what};
}

bool work_ledger::start(const work_id& id) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.state != work_state::admitted ||
        found->second.same_as) {
        return false;
    }
    found->second.state = work_state::running;
    return true;
}

void work_ledger::finish(const work_id& id, outcome what, clock_reading now) {
    auto& ended = entries_[id];
    ended.state = work_state::finished;
    ended.what = std::move(what);
    if (never_ran(ended.what)) {
        keys_.remove(ended.key);
    }
    keep_body(id, ended);
    forget_after_retention(id, ended, now.steady);
}

void work_ledger::acknowledge(const work_id& id) {
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.key.empty()) {
        drop_body(found->second);
    }
}

void work_ledger::forget_expired(clock_reading now) {
    while (!forget_order_.empty() && forget_order_.begin()->first <= now.steady) {
        const auto id = forget_order_.begin()->second;
        forget_order_.erase(forget_order_.begin());
        const auto found = entries_.find(id);
        if (found == entries_.end() || found->second.forget_at > now.steady ||
            found->second.state == work_state::admitted ||
            found->second.state == work_state::running) {
            continue;
        }
        drop_body(found->second);
        entries_.erase(found);
        const auto request_time = uuid7_time(id.request).value_or(now.wall);
        forgotten_up_to_ = std::max(forgotten_up_to_.value_or(request_time), request_time);
    }
    keys_.forget_expired(now.wall);
}

bool work_ledger::knows(const work_arrival& work) const {
    return entries_.contains(work.id) || (!work.key.empty() && keys_.holds(work.key));
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
    const auto answer = known(id, found->second);
    const auto* ended = std::get_if<settled>(&answer);
    return ended == nullptr ? std::nullopt : std::optional{ended->what};
}

ledger_sizes work_ledger::sizes() const {
    return {entries_.size(), keys_.size(), answer_bytes_, answers_dropped_};
}

arrival work_ledger::known(const work_id& id, const entry& found) const {
    if (found.same_as) {
        const auto first = entries_.find(*found.same_as);
        if (first == entries_.end()) {
            return settled{dropped_answer()};
        }
        return known(*found.same_as, first->second);
    }
    if (found.state == work_state::admitted || found.state == work_state::running) {
        return in_progress{id};
    }
    return settled{found.what};
}

arrival work_ledger::refused_unseen(const work_id& id, error reason, time_point expires_at,
                                    clock_reading now) {
    auto& unseen = record(id, expires_at, now);
    unseen.state = work_state::refused;
    unseen.what = std::move(reason);
    return settled{unseen.what};
}

bool work_ledger::may_have_forgotten(const work_id& id) const {
    if (!forgotten_up_to_) {
        return false;
    }
    const auto request_time = uuid7_time(id.request);
    return !request_time || *request_time <= *forgotten_up_to_;
}

work_ledger::entry& work_ledger::record(const work_id& id, time_point expires_at,
                                        clock_reading now) {
    auto& added = entries_[id];
    added = entry{};
    forget_after_retention(id, added, std::max(expires_at, now.steady));
    return added;
}

// Keyed work stays as long as its key, since a retry with the key must find its outcome.
void work_ledger::forget_after_retention(const work_id& id, entry& of, time_point from) {
    const auto retention = of.key.empty() ? policy_.retention : policy_.keys.retention;
    of.forget_at = std::max(of.forget_at, from + retention);
    forget_order_.emplace(of.forget_at, id);
}

void work_ledger::keep_body(const work_id& id, entry& of) {
    if (const auto* kept = std::get_if<answer>(&of.what)) {
        of.has_body = true;
        answer_bytes_ += kept->body.size();
        bodies_.push_back(id);
        drop_oldest_bodies();
    }
}

void work_ledger::drop_body(entry& of) {
    if (!of.has_body) {
        return;
    }
    of.has_body = false;
    answer_bytes_ -= std::get<answer>(of.what).body.size();
    of.what = dropped_answer();
}

void work_ledger::drop_oldest_bodies() {
    while (answer_bytes_ > policy_.answer_bytes && !bodies_.empty()) {
        const auto found = entries_.find(bodies_.front());
        bodies_.pop_front();
        if (found != entries_.end() && found->second.has_body) {
            drop_body(found->second);
            ++answers_dropped_;
        }
    }
}

} // namespace boragefront::ledger
