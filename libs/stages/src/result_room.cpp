// The memory that results take at the endpoints that made them.
#include "queue_times.hpp"
#include "stages/stage_queue.hpp"

#include <algorithm>

namespace boragefront::stages {
namespace {

constexpr seconds foreign_lifetime{1}; // results are read and freed within about a second

} // namespace

// What is still there of results that this queue knows nothing of.
std::uint64_t stage_queue::foreign_now(const endpoint_state& one, time_point now) const {
    const auto age = std::chrono::duration<double>(now - one.foreign_at) / foreign_lifetime;
    return static_cast<std::uint64_t>(static_cast<double>(one.foreign_bytes) *
                                      std::max(1 - age, 0.0));
}

// Memory for results that nothing uses, as far as this queue knows.
std::uint64_t stage_queue::free_room(const endpoint_state& one, time_point now) const {
    const auto used = one.held_bytes + one.pending_bytes + foreign_now(one, now);
    return capacity_.result_memory_bytes - std::min(capacity_.result_memory_bytes, used);
}

// An endpoint with less room than the accounts show keeps larger results than announced, or some
// of another queue: of the dispatcher before this one, or of an earlier life of this one.
void stage_queue::note_no_room(endpoint_state& one, std::uint64_t lacking, time_point now) {
    if (capacity_.result_memory_bytes == 0) {
        one.held_until = now + full_hold;
        return;
    }
    one.foreign_bytes = std::min(foreign_now(one, now) + lacking, capacity_.result_memory_bytes);
    one.foreign_at = now;
}

void stage_queue::hold_result(const std::string& endpoint, const std::string& handle,
                              std::uint64_t bytes, time_point now) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        found->second.held_bytes += bytes;
        const auto expires_at = now + capacity_.result_lifetime;
        held_.insert_or_assign(handle, held_result{endpoint, bytes, expires_at});
        held_order_.emplace_back(expires_at, handle);
    }
}

bool stage_queue::release(const std::vector<std::string>& handles) {
    const auto before = held_.size();
    for (const auto& handle : handles) {
        const auto found = held_.find(handle);
        if (found == held_.end()) {
            continue;
        }
        const auto place = endpoints_.find(found->second.endpoint);
        if (place != endpoints_.end()) {
            auto& held = place->second.held_bytes;
            held -= std::min(held, found->second.bytes);
        }
        held_.erase(found);
    }
    return held_.size() < before;
}

// Makers drop results that nobody frees.
void stage_queue::expire_results(time_point now) {
    std::vector<std::string> expired;
    while (!held_order_.empty() && held_order_.front().first <= now) {
        expired.push_back(std::move(held_order_.front().second));
        held_order_.pop_front();
    }
    (void)release(expired);
}

} // namespace boragefront::stages
