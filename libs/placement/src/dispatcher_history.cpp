#include "placement/dispatcher_history.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::placement {
namespace {

const candidate* find(const std::vector<candidate>& candidates, const std::string& id) {
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&](const auto& one) { return one.id == id; });
    return found == candidates.end() ? nullptr : &*found;
}

bool is_alive(const std::vector<std::string>& alive, const std::string& id) {
    return std::find(alive.begin(), alive.end(), id) != alive.end();
}

// What changed about a candidate; nothing if it cannot change a selection.
std::optional<change_reason> reason_of(const candidate& before, const candidate* now,
                                       const std::vector<std::string>& alive) {
    if (now == nullptr) {
        return is_alive(alive, before.id) ? change_reason::draining : change_reason::left;
    }
    if (now->serving_for < before.serving_for) { // restarted in between
        return change_reason::left;
    }
    if (now->late != before.late) {
        return now->late ? change_reason::late : change_reason::recovered;
    }
    if (now->processors != before.processors || now->link_mbps != before.link_mbps) {
        return change_reason::capacity;
    }
    return std::nullopt;
}

change_reason reason_for(const std::string& before, const std::string& after,
                         const std::vector<candidate>& previous,
                         const std::vector<candidate>& present,
                         const std::vector<std::string>& alive) {
    if (const auto* const former = find(previous, before)) {
        const auto reason = reason_of(*former, find(present, before), alive);
        if (reason && *reason != change_reason::recovered) {
            return *reason;
        }
    }
    const auto* const successor_before = find(previous, after);
    if (successor_before == nullptr) {
        return change_reason::joined;
    }
    if (successor_before->late) {
        return change_reason::recovered;
    }
    // Another candidate changed and with it the choice of another service, or the successor has
    // been serving for long enough now.
    for (const auto& one : previous) {
        if (const auto reason = reason_of(one, find(present, one.id), alive)) {
            return *reason;
        }
    }
    const bool all_known = std::all_of(present.begin(), present.end(), [&](const auto& one) {
        const auto* const known = find(previous, one.id);
        return known != nullptr && known->serving_for == one.serving_for;
    });
    return all_known ? change_reason::capacity : change_reason::joined;
}

} // namespace

std::string_view to_string(change_reason reason) {
    switch (reason) {
    case change_reason::joined:
        return "joined";
    case change_reason::left:
        return "left";
    case change_reason::draining:
        return "draining";
    case change_reason::late:
        return "late";
    case change_reason::recovered:
        return "recovered";
    case change_reason::capacity:
        return "capacity";
    }
    return "unknown";
}

std::optional<dispatcher_change>
dispatcher_history::update(const std::string& service, const std::string& selected,
                           const std::vector<candidate>& candidates,
                           const std::vector<std::string>& alive) {
    auto& kept = selections_[service];
    const auto previous = std::exchange(kept, {selected, candidates});
    if (previous.dispatcher.empty() || previous.dispatcher == selected ||
        (is_uniform(previous.candidates) && is_uniform(candidates))) {
        return std::nullopt;
    }
    return dispatcher_change{
        previous.dispatcher, selected,
        reason_for(previous.dispatcher, selected, previous.candidates, candidates, alive)};
}

} // namespace boragefront::placement
