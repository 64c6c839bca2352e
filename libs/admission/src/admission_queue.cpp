/// \file
#include "admission/admission_queue.hpp"

#include <iterator>

namespace boragefront::admission {
namespace {

constexpr std::size_t urgent_index = static_cast<std::size_t>(config::lane::urgent);

} // namespace

admission_queue::admission_queue(std::size_t capacity, queue_mechanisms mechanisms)
    : capacity_{capacity}, mechanisms_{mechanisms}, lanes_{fair_lane{mechanisms.fair},
                                                           fair_lane{mechanisms.fair},
                                                           fair_lane{mechanisms.fair}} {}

std::size_t admission_queue::index_of(config::lane which) const {
    return mechanisms_.strict_priority ? static_cast<std::size_t>(which) : urgent_index;
}

std::size_t admission_queue::size() const {
    std::size_t total = 0;
    for (const auto& each : lanes_) {
        total += each.size();
    }
    return total;
}

std::size_t admission_queue::size(config::lane which) const {
    return lanes_.at(index_of(which)).size();
}

std::size_t admission_queue::ahead_of(const waiting_work& work) const {
    const auto own = index_of(work.lane);
    std::size_t ahead = lanes_.at(own).ahead_of(work.workspace);
    for (std::size_t higher = 0; higher < own; ++higher) {
        ahead += lanes_.at(higher).size();
    }
    return ahead;
}

// Whether `added` may displace an item of this lane: the lane has lower priority, or it is the same
// lane and another workspace has a larger backlog relative to its share.
bool admission_queue::can_displace(const waiting_work& added, std::size_t index) const {
    const auto own = index_of(added.lane);
    const auto& candidate = lanes_.at(index);
    if (candidate.size() == 0 || index != own) {
        return candidate.size() > 0 && index > own;
    }
    const auto backlogged = candidate.most_backlogged_workspace();
    const double own_backlog = candidate.backlog(added.workspace, added.share) + 1 / added.share;
    return mechanisms_.fair && backlogged != added.workspace &&
           candidate.backlog(backlogged, candidate.share_of(backlogged)) > own_backlog;
}

push_result admission_queue::push(waiting_work added) {
    const auto own = index_of(added.lane);
    if (size() < capacity_) {
        lanes_.at(own).push(std::move(added));
        return queued{};
    }
    for (std::size_t index = lane_count; index-- > own;) {
        if (can_displace(added, index)) {
            auto& lane = lanes_.at(index);
            auto displaced = lane.take_newest(std::string{lane.most_backlogged_workspace()});
            lanes_.at(own).push(std::move(added));
            return queued{std::move(displaced)};
        }
    }
    return queue_full{};
}

std::optional<waiting_work> admission_queue::pop(bool urgent_only) {
    for (std::size_t index = 0; index < lane_count; ++index) {
        if (urgent_only && index != urgent_index) {
            break;
        }
        if (auto next = lanes_.at(index).pop()) {
            return next;
        }
    }
    return std::nullopt;
}

bool admission_queue::remove(const work_id& id) {
    for (auto& each : lanes_) {
        if (each.remove(id)) {
            return true;
        }
    }
    return false;
}

std::vector<waiting_work> admission_queue::take_expired(time_point now) {
    std::vector<waiting_work> expired;
    for (auto& each : lanes_) {
        auto taken = each.take_if([&](const waiting_work& work) { return work.expires_at <= now; });
        std::move(taken.begin(), taken.end(), std::back_inserter(expired));
    }
    return expired;
}

std::vector<waiting_work> admission_queue::take_all() {
    return take_expired(time_point::max());
}

} // namespace boragefront::admission
