/// \file
/// Simulates a stage service of two endpoints under varying load on a virtual clock. They process
/// 57 pieces per second in full calls; a group has 2.5 pieces on average.
#pragma once

#include "simulated_endpoints.hpp"
#include "stages/stage_queue.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace boragefront::stages {

inline constexpr milliseconds tick{5};
inline constexpr milliseconds latency_goal{900};
inline constexpr milliseconds deadline{5'000};
inline constexpr seconds warm_up{4};

struct overload_counts {
    int requested{0};
    int on_time{0};
    int refused{0};
    std::vector<milliseconds> refusal_times{}; // until a caller was told, after the warm-up
    milliseconds min_retry_after{60'000};
};

struct arrival_rate {
    double groups_per_second{0};
    double in_burst{0};
    seconds burst_begins{5};
    milliseconds burst_time{0};
};

class overload_simulation {
public:
    overload_simulation(arrival_rate rate, std::uint64_t seed) : rate_{rate}, random_{seed} {
        capacity_.batch = 8;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{16};
        capacity_.result_lifetime = seconds{4};
        queue_ = stage_queue::make(capacity_);
        queue_.set_endpoints(make_endpoints(2), {}, "stage", now_);
    }

    overload_counts run(seconds time) {
        const auto begun = now_;
        auto next = now_;
        for (; now_ < begun + time; now_ += tick) {
            for (; next <= now_; next += gap(now_ - begun)) {
                arrive(begun);
            }
            step(begun);
        }
        return counts_;
    }

private:
    duration gap(duration time_in) {
        const bool burst =
            time_in >= rate_.burst_begins && time_in < rate_.burst_begins + rate_.burst_time;
        std::exponential_distribution<double> drawn{burst ? rate_.in_burst
                                                          : rate_.groups_per_second};
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>{drawn(random_)});
    }

    void record_refusal(time_point since, milliseconds retry_after, time_point begun) {
        ++counts_.refused;
        if (since >= begun + warm_up) {
            counts_.refusal_times.push_back(std::chrono::floor<milliseconds>(now_ - since));
            counts_.min_retry_after = std::min(counts_.min_retry_after, retry_after);
        }
    }

    void arrive(time_point begun) {
        std::uniform_int_distribution<unsigned> drawn{1, 4};
        piece_group group;
        group.id = next_id_++;
        group.soft_deadline = now_ + latency_goal;
        group.hard_deadline = now_ + deadline;
        for (unsigned i = drawn(random_); i > 0; --i) {
            group.pieces.push_back({std::to_string(group.id), 0, i, "key", {}});
        }
        arrived_[group.id] = now_;
        ++counts_.requested;
        const auto admitted = queue_.offer(std::move(group), now_);
        if (!admitted.accepted) {
            record_refusal(now_, admitted.retry_after, begun);
        }
    }

    void step(time_point begun) {
        std::erase_if(running_, [&](const auto& item) {
            if (item.second > now_) {
                return false;
            }
            const std::vector<piece_result> results(item.first.pieces.size(),
                                                    {piece_outcome::made, "handle"});
            queue_.call_ended(item.first.id, call_outcome::answered, results, now_);
            return true;
        });
        for (auto& call : queue_.next_calls(now_)) {
            const auto ends =
                now_ + capacity_.call_time + capacity_.piece_time * call.pieces.size();
            running_.emplace_back(std::move(call), ends);
        }
        for (const auto& ended : queue_.take_finished(now_)) {
            const auto since = arrived_[ended.id];
            if (ended.expired) {
                record_refusal(since, ended.retry_after, begun);
            } else {
                counts_.on_time += now_ <= since + latency_goal ? 1 : 0;
            }
        }
    }

    arrival_rate rate_;
    std::mt19937_64 random_;
    time_point now_{seconds{1'000}};
    catalog::stage_capacity capacity_;
    stage_queue queue_;
    std::vector<std::pair<stage_call, time_point>> running_;
    std::map<std::uint64_t, time_point> arrived_;
    overload_counts counts_;
    std::uint64_t next_id_{1};
};

} // namespace boragefront::stages
