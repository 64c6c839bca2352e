#include "dispatcher_selector.hpp"

#include "base/logging.hpp"

#include <algorithm>

namespace boragefront::gateway {
namespace {

constexpr milliseconds min_backoff{400}; // gives a slow dispatcher time to work off its backlog
constexpr milliseconds max_backoff{3'200};
// Longer than it takes until a peer that has ended is not alive any more.
constexpr milliseconds unreachable_retention{2'000};
// The groups that a former dispatcher has are complete or expired within about this time.
constexpr milliseconds hand_over_time{1'000};

} // namespace

dispatching_entry dispatcher_selector::self(time_point now) const {
    const auto& role = state_.role();
    const auto& info = state_.fleet().self;
    const bool late = state_.is_late(state_.self_id(), info.life, now);
    return {{state_.self_id(), role.processors, role.link_mbps, info.serving_for, late},
            state_.draining};
}

bool dispatcher_selector::defers(time_point now) const {
    return defers_dispatch(self(now), state_.fleet(), now);
}

void dispatcher_selector::update(time_point now) {
    const auto entry = self(now);
    selection_inputs inputs;
    inputs.defers = defers_dispatch(entry, state_.fleet(), now);
    inputs.candidates = dispatch_candidates(
        entry, state_.fleet(),
        [&](const auto& other) { return state_.is_late(other.id, other.life, now); }, now);
    for (const auto& [name, configured] : state_.current()->published.config->services) {
        if (configured.stages) {
            inputs.stage_services.push_back(name);
        }
    }
    if (inputs_ == inputs) {
        return;
    }
    inputs_ = std::move(inputs);
    orders_.clear();
    for (const auto& service : inputs_->stage_services) {
        record_selection(service, now);
    }
}

std::vector<wire::entry_info>
dispatcher_selector::entries_to_ask(const std::string& service, const std::set<std::string>& asked,
                                    time_point now) {
    if (!inputs_ || inputs_->defers != defers(now)) {
        update(now);
    }
    const auto is_excluded = [&](const wire::entry_info& other) {
        const auto late = late_.find(other.id);
        return asked.contains(other.id) || is_unreachable(other, now) ||
               (late != late_.end() && now < late->second.skip_until);
    };
    return gateway::entries_to_ask(order(service), self(now), state_.fleet(), is_excluded);
}

// Valid until the next selection.
const std::vector<std::string>& dispatcher_selector::order(const std::string& service) {
    auto [kept, is_new] = orders_.try_emplace(service);
    if (is_new) {
        kept->second =
            placement::dispatcher_order(service, inputs_->stage_services, inputs_->candidates);
    }
    return kept->second;
}

void dispatcher_selector::record_selection(const std::string& service, time_point now) {
    const auto& candidates = order(service);
    if (candidates.empty()) {
        return;
    }
    std::vector<std::string> alive{state_.self_id()};
    for (const auto& entry : state_.fleet().alive) {
        alive.push_back(entry.id);
    }
    const auto change = history_.update(service, candidates.front(), inputs_->candidates, alive);
    if (!change) {
        return;
    }
    const std::string reason{placement::to_string(change->reason)};
    log_change("placement", "dispatcher_changed",
               {{"service", service},
                {"before", change->before},
                {"after", change->after},
                {"reason", reason}});
    state_.metrics()
        .get_counter("boragefront_dispatcher_changes_total",
                     "service=\"" + service + "\",reason=\"" + reason + '"')
        .add();
    begin_hand_over(service, *change, now);
}

void dispatcher_selector::begin_hand_over(const std::string& service,
                                          const placement::dispatcher_change& change,
                                          time_point now) {
    const bool takes_over = change.after == state_.self_id();
    if (!takes_over && change.before != state_.self_id()) {
        return;
    }
    const auto& other = takes_over ? change.before : change.after;
    const auto& alive = state_.fleet().alive;
    const auto found = std::find_if(alive.begin(), alive.end(),
                                    [&](const auto& entry) { return entry.id == other; });
    // A former dispatcher that has restarted meanwhile has no groups.
    const bool restarted =
        takes_over && found != alive.end() && found->serving && found->serving_for < hand_over_time;
    if (found != alive.end() && !restarted) {
        hand_overs_.insert_or_assign(service, hand_over{*found, now + hand_over_time});
    }
}

const wire::entry_info* dispatcher_selector::hand_over_partner(const std::string& service,
                                                               time_point now) {
    const auto found = hand_overs_.find(service);
    if (found == hand_overs_.end()) {
        return nullptr;
    }
    const auto& [other, ends_at] = found->second;
    if (now >= ends_at || !is_alive(other.id, other.life)) {
        hand_overs_.erase(found);
        return nullptr;
    }
    return &other;
}

bool dispatcher_selector::is_alive(const std::string& id, incarnation life) const {
    const auto& alive = state_.fleet().alive;
    return std::any_of(alive.begin(), alive.end(),
                       [&](const auto& entry) { return entry.id == id && entry.life == life; });
}

bool dispatcher_selector::is_unreachable(const wire::entry_info& entry, time_point now) const {
    const auto found = unreachable_.find(entry.id);
    return found != unreachable_.end() && found->second.life == entry.life &&
           now - found->second.refused_at < unreachable_retention;
}

bool dispatcher_selector::is_uniform() const {
    return !inputs_ || placement::is_uniform(inputs_->candidates);
}

void dispatcher_selector::record_response(const wire::entry_info& entry, duration elapsed,
                                          time_point now) {
    late_.erase(entry.id);
    state_.response_monitor().record_response({entry.id, entry.life}, elapsed, now);
}

void dispatcher_selector::record_missed(const wire::entry_info& entry, duration timeout,
                                        time_point now) {
    auto& late = late_[entry.id];
    if (now >= late.skip_until) {
        late.backoff = std::clamp(late.backoff * 2, min_backoff, max_backoff);
        late.skip_until = now + late.backoff;
    }
    state_.response_monitor().record_missed({entry.id, entry.life}, timeout, now);
}

void dispatcher_selector::record_refused_connection(const wire::entry_info& entry, time_point now) {
    unreachable_.insert_or_assign(entry.id, unreachable_dispatcher{entry.life, now});
}

} // namespace boragefront::gateway
