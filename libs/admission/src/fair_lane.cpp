/// \file
#include "admission/fair_lane.hpp"

#include <algorithm>

namespace boragefront::admission {

double fair_lane::start_tag(std::string_view workspace) const {
    if (!fair_) {
        return arrivals_;
    }
    const auto found = flows_.find(workspace);
    return found == flows_.end() ? virtual_time_
                                 : std::max(virtual_time_, found->second.last_finish);
}

std::size_t fair_lane::ahead_of(std::string_view workspace) const {
    const double start = start_tag(workspace);
    std::size_t ahead = 0;
    for (const auto& [name, each] : flows_) {
        ahead += static_cast<std::size_t>(
            std::count_if(each.waiting.begin(), each.waiting.end(),
                          [&](const tagged& other) { return other.start <= start; }));
    }
    return ahead;
}

std::string_view fair_lane::most_backlogged_workspace() const {
    std::string_view selected;
    double max_backlog = 0;
    for (const auto& [name, each] : flows_) {
        const double backlog = static_cast<double>(each.waiting.size()) / each.share;
        if (backlog > max_backlog) {
            max_backlog = backlog;
            selected = name;
        }
    }
    return selected;
}

double fair_lane::share_of(std::string_view workspace) const {
    const auto found = flows_.find(workspace);
    return found == flows_.end() ? 1.0 : found->second.share;
}

double fair_lane::backlog(std::string_view workspace, double share) const {
    const auto found = flows_.find(workspace);
    return found == flows_.end() ? 0.0 : static_cast<double>(found->second.waiting.size()) / share;
}

void fair_lane::push(waiting_work added) {
    const double start = start_tag(added.workspace);
    auto& own = flows_[added.workspace];
    own.share = added.share;
    own.last_finish = start + 1.0 / added.share;
    own.waiting.push_back({std::move(added), start});
    arrivals_ += 1;
    ++size_;
}

std::optional<waiting_work> fair_lane::pop() {
    auto next_flow = flows_.end();
    for (auto each = flows_.begin(); each != flows_.end(); ++each) {
        const auto& waiting = each->second.waiting;
        if (!waiting.empty() && (next_flow == flows_.end() ||
                                 waiting.front().start < next_flow->second.waiting.front().start)) {
            next_flow = each;
        }
    }
    if (next_flow == flows_.end()) {
        return std::nullopt;
    }
    auto next = std::move(next_flow->second.waiting.front());
    next_flow->second.waiting.pop_front();
    --size_;
    virtual_time_ = std::max(virtual_time_, next.start);
    remove_idle_flows();
    return std::move(next.work);
}

std::optional<waiting_work> fair_lane::take_newest(std::string_view workspace) {
    const auto found = flows_.find(workspace);
    if (found == flows_.end() || found->second.waiting.empty()) {
        return std::nullopt;
    }
    auto& own = found->second;
    auto newest = std::move(own.waiting.back());
    own.waiting.pop_back();
    own.last_finish = newest.start;
    --size_;
    return std::move(newest.work);
}

bool fair_lane::remove(const work_id& id) {
    return !take_if([&](const waiting_work& each) { return each.id == id; }).empty();
}

std::vector<waiting_work>
fair_lane::take_if(const std::function<bool(const waiting_work&)>& predicate) {
    std::vector<waiting_work> taken;
    for (auto& [name, each] : flows_) {
        std::deque<tagged> kept;
        for (auto& candidate : each.waiting) {
            if (predicate(candidate.work)) {
                taken.push_back(std::move(candidate.work));
            } else {
                kept.push_back(std::move(candidate));
            }
        }
        each.waiting = std::move(kept);
    }
    size_ -= taken.size();
    return taken;
}

// Keeps the flow of an idle workspace until virtual time reaches its last finish time; otherwise a
// workspace that sends one request at a time would exceed its share.
void fair_lane::remove_idle_flows() {
    std::erase_if(flows_, [&](const auto& entry) {
        return entry.second.waiting.empty() &&
               (size_ == 0 || entry.second.last_finish <= virtual_time_);
    });
}

} // namespace boragefront::admission
