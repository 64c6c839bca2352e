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

change_reason reason_for(const std::string& before, const std::string& after,
                         const std::vector<candidate>& previous,
                         const std::vector<candidate>& present,
                         const std::vector<std::string>& alive) {
    const auto* const former = find(present, before);
    if (former == nullptr) {
        return std::find(alive.begin(), alive.end(), before) == alive.end()
                   ? change_reason::left
                   : change_reason::draining;
    }
    if (former->late) {
        return change_reason::late;
    }
    const auto* const successor_before = find(previous, after);
    if (successor_before == nullptr) {
        return change_reason::joined;
    }
    if (successor_before->late) {
        return change_reason::recovered;
    }
    // Another candidate changed, or the successor has been serving for long enough now.
    bool others_left = false;
    for (const auto& one : previous) {
        const auto* const kept = find(present, one.id);
        others_left = others_left || kept == nullptr;
        if (kept != nullptr &&
            (kept->processors != one.processors || kept->link_mbps != one.link_mbps)) {
            return change_reason::capacity;
        }
    }
    return others_left ? change_reason::left : change_reason::joined;
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
    if (previous.dispatcher.empty() || previous.dispatcher == selected) {
        return std::nullopt;
    }
    return dispatcher_change{
        previous.dispatcher, selected,
        reason_for(previous.dispatcher, selected, previous.candidates, candidates, alive)};
}

} // namespace boragefront::placement
