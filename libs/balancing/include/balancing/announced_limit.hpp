/// \file
/// A limit on the request rate that an endpoint announces in its responses, and this entry's share
/// of it.
#pragma once

#include "balancing/entry_group.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace boragefront::balancing {

/// What a response or another entry says of the limit of an endpoint.
struct limit_report {
    std::optional<double> per_second{}; ///< requests from all entries together; empty: no limit
    time_point observed_at{};           ///< when an entry received the response
};

/// How a report changed a limit.
enum class limit_change : std::uint8_t { none, began, changed, ended };

/// The limit of one endpoint, divided among the entries without coordination. Rendezvous hashing
/// selects the entries that may send, at most so many that the share of each is a request per
/// second or more; a limit below that has one sender. Each counts its own requests only.
///
/// A sender without traffic or a sender that is gone would leave the endpoint without work, and the
/// others without news of the limit. So the next entry in the order may send a request once no
/// entry has received a response for a time, then the one after it, and so on.
///
/// Reads no clock.
class announced_limit {
public:
    /// Records a report. Those that are older than the newest one are ignored.
    limit_change record(const limit_report& report);

    bool in_force() const { return newest_.per_second.has_value(); }

    /// Whether a limit is or was in force, so that other entries may know one.
    bool was_announced() const { return was_announced_; }

    /// The newest report; `observed_at` is `time_point{}` if there is none.
    const limit_report& newest() const { return newest_; }

    /// This entry's share, in requests per second; 0 if it has none. The limit must be in force.
    double share(const entry_group& group, std::string_view endpoint) const;

    /// When this entry may send the next request, `now` at the earliest; empty if no limit is in
    /// force. `time_point::max()` if other entries may send before it.
    std::optional<time_point> next_send(const entry_group& group, std::string_view endpoint,
                                        time_point now) const;

    /// Records a request that is sent now, whether or not the share covers it.
    void record_send(const entry_group& group, std::string_view endpoint, time_point now);

    /// Time until the endpoint accepts one more request of any entry. The limit must be in force.
    milliseconds interval() const;

private:
    std::size_t rank_in(const entry_group& group, std::string_view endpoint) const;

    limit_report newest_;
    bool was_announced_{false};
    time_point next_token_{}; // when this entry's share covers the next request
    // The rank takes a hash of each member, and is used at each choice of an endpoint.
    mutable std::uint64_t ranked_group_{0}; // its revision
    mutable std::size_t rank_{0};
};

/// Values that an endpoint announces are raised or lowered to this range.
inline constexpr double min_limit_per_second = 0.01;
inline constexpr double max_limit_per_second = 1e6;

} // namespace boragefront::balancing
