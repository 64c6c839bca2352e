// Accounting of the memory that results use at the endpoints that produced them.
#include "backoff.hpp"
#include "stages/stage_queue.hpp"

#include <algorithm>

namespace boragefront::stages {
namespace {

constexpr milliseconds min_unaccounted_lifetime{1'000}; // results are read and freed within this

} // namespace

// Memory still used by results that this queue does not track; decays linearly.
std::uint64_t stage_queue::unaccounted_now(const endpoint_state& endpoint, time_point now) const {
    const auto age = std::chrono::duration<double>(now - endpoint.unaccounted_at) /
                     endpoint.unaccounted_lifetime;
    return static_cast<std::uint64_t>(static_cast<double>(endpoint.unaccounted_bytes) *
                                      std::max(1 - age, 0.0));
}

// Memory available for results, as far as this queue knows.
std::uint64_t stage_queue::free_room(const endpoint_state& endpoint, time_point now) const {
    const auto used = endpoint.held_bytes + endpoint.pending_bytes + unaccounted_now(endpoint, now);
    return capacity_.result_memory_bytes - std::min(capacity_.result_memory_bytes, used);
}

// An endpoint has less memory than accounted for if its results are larger than announced, or if it
// holds results of another queue: of the previous dispatcher, or of this one before a restart.
void stage_queue::record_room_shortage(endpoint_state& endpoint, std::uint64_t shortage,
                                       time_point now) {
    if (capacity_.result_memory_bytes == 0) {
        endpoint.backoff_until = now + full_backoff;
        return;
    }
    // Nobody frees the results of an entry that was killed, so a shortage that comes back may last
    // for the lifetime of results.
    const bool comes_back = endpoint.unaccounted_bytes > 0 &&
                            now - endpoint.unaccounted_at < 2 * endpoint.unaccounted_lifetime;
    const auto max_lifetime =
        std::max<milliseconds>(capacity_.result_lifetime, min_unaccounted_lifetime);
    endpoint.unaccounted_bytes =
        std::min(unaccounted_now(endpoint, now) + shortage, capacity_.result_memory_bytes);
    endpoint.unaccounted_lifetime = comes_back
                                        ? std::min(endpoint.unaccounted_lifetime * 2, max_lifetime)
                                        : min_unaccounted_lifetime;
    endpoint.unaccounted_at = now;
}

void stage_queue::assume_unknown_results(time_point now) {
    for (auto& [id, endpoint] : endpoints_) {
        endpoint.unaccounted_bytes = capacity_.result_memory_bytes / 2;
        endpoint.unaccounted_at = now;
    }
}

void stage_queue::track_result(const std::string& endpoint, const std::string& handle,
                               std::uint64_t bytes, time_point now) {
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end()) {
        found->second.held_bytes += bytes;
        const auto expires_at = now + capacity_.result_lifetime;
        held_results_.insert_or_assign(handle, held_result{endpoint, bytes, expires_at});
        held_results_by_expiry_.emplace_back(expires_at, handle);
    }
}

bool stage_queue::release(const std::vector<std::string>& handles) {
    const auto before = held_results_.size();
    for (const auto& handle : handles) {
        const auto found = held_results_.find(handle);
        if (found == held_results_.end()) {
            continue;
        }
        const auto found_endpoint = endpoints_.find(found->second.endpoint);
        if (found_endpoint != endpoints_.end()) {
            auto& held = found_endpoint->second.held_bytes;
            held -= std::min(held, found->second.bytes);
        }
        held_results_.erase(found);
    }
    return held_results_.size() < before;
}

// Endpoints drop results that are not freed within their lifetime.
void stage_queue::expire_results(time_point now) {
    std::vector<std::string> expired;
    while (!held_results_by_expiry_.empty() && held_results_by_expiry_.front().first <= now) {
        expired.push_back(std::move(held_results_by_expiry_.front().second));
        held_results_by_expiry_.pop_front();
    }
    (void)release(expired);
}

} // namespace boragefront::stages
