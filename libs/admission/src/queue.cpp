/// \file
/// Implementation of the lanes and of what gives way when they are full.
#include "admission/queue.hpp"

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
    return mechanisms_.lanes_in_order ? static_cast<std::size_t>(which) : urgent_index;
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
    for (std::size_t above = 0; above < own; ++above) {
        ahead += lanes_.at(above).size();
    }
    return ahead;
}

// Whether a lane of less value, or a longer workspace of the same lane, gives way to `added`.
bool admission_queue::makes_room(const waiting_work& added, std::size_t index) const {
    const auto own = index_of(added.lane);
    const auto& candidate = lanes_.at(index);
    if (candidate.size() == 0 || index != own) {
        return candidate.size() > 0 && index > own;
    }
    const auto longest = candidate.longest_workspace();
    const double own_backlog = candidate.backlog(added.workspace, added.share) + 1 / added.share;
    return mechanisms_.fair && longest != added.workspace &&
           candidate.backlog(longest, candidate.share_of(longest)) > own_backlog;
}

push_result admission_queue::push(waiting_work added) {
    const auto own = index_of(added.lane);
    if (size() < capacity_) {
        lanes_.at(own).push(std::move(added));
        return queued{};
    }
    for (std::size_t index = lane_count; index-- > own;) {
        if (makes_room(added, index)) {
            auto& lane = lanes_.at(index);
            auto displaced = lane.take_newest(std::string{lane.longest_workspace()});
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
