#include "stages/service_load.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::stages {
namespace {

constexpr milliseconds interval_length{100};
constexpr milliseconds min_rate_period{2'000}; // a burst of 1.5 s is no lasting rate
// Random arrivals exceed their mean by more than this in about 1 of 50 periods. With 1.5, groups
// were refused at 0.8 of the capacity.
constexpr double random_deviations = 2;
// A caller that waits longer has given up, or the load has changed.
constexpr milliseconds max_retry_after{5'000};
// A service may be configured with calls that take no time; 0 would ask for a retry at once.
constexpr milliseconds min_retry_after{10};

double to_seconds(duration time) {
    return std::chrono::duration<double>(time).count();
}

} // namespace

void arrival_estimator::record(std::size_t pieces, int priority, time_point now) {
    first_arrival_ = first_arrival_.value_or(now);
    if (intervals_.empty() || now >= intervals_.back().begins + interval_length) {
        intervals_.push_back({now});
    }
    const auto count = static_cast<double>(pieces);
    intervals_.back().pieces_of_priority[priority] += count;
    intervals_.back().squares += count * count;
    while (intervals_.front().begins + max_period < now) {
        intervals_.pop_front();
    }
}

arrived_work arrival_estimator::arrived(milliseconds period, time_point now) const {
    arrived_work work;
    double squares = 0;
    for (auto next = intervals_.rbegin(); next != intervals_.rend() && next->begins + period >= now;
         ++next) {
        for (const auto& [priority, pieces] : next->pieces_of_priority) {
            work.pieces += pieces;
        }
        squares += next->squares;
    }
    work.deviation = std::sqrt(squares);
    return work;
}

double arrival_estimator::rate_before(int priority, time_point now) const {
    double sum = 0;
    for (const auto& slice : intervals_) {
        for (const auto& [other, pieces] : slice.pieces_of_priority) {
            sum += other < priority && slice.begins + max_period >= now ? pieces : 0;
        }
    }
    const auto observed = std::min<duration>(now - first_arrival_.value_or(now), max_period);
    return sum / to_seconds(std::max<duration>(observed, min_rate_period));
}

void throughput_estimator::record_backlog(bool backlogged, time_point now) {
    backlogged_since_ = backlogged ? backlogged_since_.value_or(now) : std::optional<time_point>{};
}

void throughput_estimator::record_completed(std::size_t pieces, time_point now) {
    completed_.record(pieces, 0, now);
}

void throughput_estimator::reset() {
    backlogged_since_.reset();
}

std::optional<double> throughput_estimator::pieces_per_second(milliseconds full_call,
                                                              time_point now) const {
    if (!backlogged_since_) {
        return std::nullopt;
    }
    const auto observed =
        std::min(std::chrono::floor<milliseconds>(now - *backlogged_since_ - full_call),
                 arrival_estimator::max_period);
    if (observed < min_rate_period) {
        return std::nullopt;
    }
    return completed_.arrived(observed, now).pieces / to_seconds(observed);
}

bool service_load::is_overloaded() const {
    return lasting.pieces - random_deviations * lasting.deviation >
           pieces_per_second * to_seconds(lasting_period);
}

bool service_load::can_process_waiting(duration time) const {
    return can_process_besides(recent.pieces / to_seconds(recent_period), waiting, time);
}

bool service_load::can_process_besides(double urgent_rate, std::size_t pieces,
                                       duration time) const {
    return static_cast<double>(pieces) <= (pieces_per_second - urgent_rate) * to_seconds(time);
}

milliseconds service_load::time_to_process_excess() const {
    const double excess = lasting.pieces - pieces_per_second * to_seconds(lasting_period);
    return std::chrono::ceil<milliseconds>(
        std::chrono::duration<double>{std::max(excess, 0.0) / pieces_per_second});
}

milliseconds spread_retry_after(milliseconds room_expected_in, milliseconds full_call,
                                std::string_view request_id) {
    const auto earliest =
        std::max({min_retry_after, full_call, std::min(room_expected_in, max_retry_after / 2)});
    const auto latest = std::max(earliest, std::min(earliest * 2, max_retry_after));
    const auto choices = static_cast<std::uint64_t>((latest - earliest).count()) + 1;
    return earliest + milliseconds{stable_hash(request_id) % choices};
}

} // namespace boragefront::stages
