#include "balancing/announced_limit.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::balancing {
namespace {

// A share is at least one request in this time, so that the shares of many entries, each of which
// may be used at the same moment, add up to one second of the limit at most.
constexpr double min_share_per_second = 1;
// An entry that is late by a few turns of its event loop makes up for them.
constexpr milliseconds max_credit{50};
// Several times as long as entries take to tell each other of a response.
constexpr std::chrono::duration<double> min_takeover_time{8};
// A takeover must not come between two requests of the sender.
constexpr double takeover_intervals = 2;

std::size_t sender_count(double per_second, const entry_group& group) {
    const auto senders = per_second / min_share_per_second;
    return senders >= static_cast<double>(group.size())
               ? group.size()
               : std::max<std::size_t>(static_cast<std::size_t>(senders), 1);
}

duration in_seconds(double count) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{count});
}

duration takeover_time(double per_second) {
    return std::max(std::chrono::duration_cast<duration>(min_takeover_time),
                    in_seconds(takeover_intervals / per_second));
}

} // namespace

limit_change announced_limit::record(const limit_report& report) {
    if (report.observed_at < newest_.observed_at) {
        return limit_change::none;
    }
    const auto before = newest_.per_second;
    newest_ = report;
    was_announced_ = was_announced_ || report.per_second;
    if (newest_.per_second) {
        newest_.per_second =
            std::clamp(*newest_.per_second, min_limit_per_second, max_limit_per_second);
    }
    if (newest_.per_second == before) {
        return limit_change::none;
    }
    if (!before) {
        return limit_change::began;
    }
    return newest_.per_second ? limit_change::changed : limit_change::ended;
}

std::size_t announced_limit::rank_in(const entry_group& group, std::string_view endpoint) const {
    if (group.revision == 0 || group.revision != ranked_group_) {
        rank_ = group.rank(endpoint);
        ranked_group_ = group.revision;
    }
    return rank_;
}

double announced_limit::share(const entry_group& group, std::string_view endpoint) const {
    const auto senders = sender_count(*newest_.per_second, group);
    return rank_in(group, endpoint) < senders ? *newest_.per_second / static_cast<double>(senders)
                                              : 0;
}

std::optional<time_point> announced_limit::next_send(const entry_group& group,
                                                     std::string_view endpoint,
                                                     time_point now) const {
    if (!in_force()) {
        return std::nullopt;
    }
    const auto senders = sender_count(*newest_.per_second, group);
    const auto rank = rank_in(group, endpoint);
    if (rank < senders) {
        return std::max(next_token_, now);
    }
    const auto turn = newest_.observed_at + takeover_time(*newest_.per_second) *
                                                static_cast<duration::rep>(rank - senders + 1);
    return now < std::max(turn, next_token_) ? time_point::max() : now;
}

void announced_limit::record_send(const entry_group& group, std::string_view endpoint,
                                  time_point now) {
    if (!in_force()) {
        return;
    }
    const auto own = share(group, endpoint);
    const auto pause = own > 0 ? in_seconds(1 / own) : takeover_time(*newest_.per_second);
    next_token_ = std::max(next_token_, now - max_credit) + pause;
}

milliseconds announced_limit::interval() const {
    return std::chrono::ceil<milliseconds>(in_seconds(1 / *newest_.per_second));
}

} // namespace boragefront::balancing
