// Simulates a burst of requests on a stage service on a virtual clock.
#include "stages/stage_queue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <random>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

constexpr milliseconds tick{5};
constexpr seconds burst_begins{5};
constexpr seconds burst_ends{11};

// Relation of queues to endpoints.
enum class queueing : std::uint8_t {
    shared,                ///< every queue sends to all endpoints
    per_endpoint,          ///< one queue for each endpoint; groups go to a random one
    per_endpoint_shortest, ///< the same, but groups go to the shortest queue, as if entries knew
                           ///< all queues
};

struct workload {
    queueing queueing_mode{queueing::shared};
    std::size_t queues{1}; ///< 1: one dispatcher for the service; more: one for each entry
    std::size_t endpoints{5};
    std::size_t missing{0}; ///< endpoints that are missing from the start
    double pieces_per_second{80};
    double in_burst{140}; ///< pieces per second during the 6 s burst
    milliseconds latency_goal{600};
};

struct request_counts {
    int requested{0};
    int on_time{0};
    double on_time_ratio() const {
        return requested == 0 ? 0 : static_cast<double>(on_time) / requested;
    }
};

// Endpoints that run one call at a time, queue the others and are shared by all queues.
class burst_simulation {
public:
    burst_simulation(const workload& setup, std::uint64_t seed) : workload_{setup}, random_{seed} {
        capacity_.batch = 8;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{16};
        capacity_.result_lifetime = seconds{4};
        for (std::size_t i = 0; i + setup.missing < setup.endpoints; ++i) {
            catalog::endpoint endpoint;
            endpoint.id = "endpoint-" + std::to_string(i);
            endpoint.service = "stage";
            endpoint.address = endpoint.id;
            endpoints_.push_back(endpoint);
        }
        const bool shared = setup.queueing_mode == queueing::shared;
        for (std::size_t i = 0; i < (shared ? setup.queues : endpoints_.size()); ++i) {
            const std::vector<catalog::endpoint> own{endpoints_[shared ? 0 : i]};
            queues_.push_back(stage_queue::make(capacity_));
            queues_.back().set_endpoints(shared ? endpoints_ : own, {}, "stage", now_);
        }
    }

    // Returns the number of requests and of those completed in time, by priority.
    std::map<int, request_counts> run(seconds time) {
        const double mean_pieces = 2.5;
        std::poisson_distribution<unsigned> more_pieces{mean_pieces - 1};
        const auto begun = now_;
        auto next = now_;
        const auto until = now_ + time;
        while (now_ < until) {
            while (next <= now_) {
                arrive(1 + more_pieces(random_));
                const auto time_in = now_ - begun;
                const bool burst = time_in >= burst_begins && time_in < burst_ends;
                const double rate = burst ? workload_.in_burst : workload_.pieces_per_second;
                std::exponential_distribution<double> gap{rate / mean_pieces};
                next += std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>{gap(random_)});
            }
            step();
            now_ += tick;
        }
        return counts_;
    }

private:
    struct running {
        std::size_t queue;
        stage_call call;
        time_point ends;
    };

    void arrive(unsigned pieces) {
        piece_group group;
        group.id = next_id_++;
        group.priority = static_cast<int>(random_() % 3);
        group.soft_deadline = now_ + workload_.latency_goal;
        group.hard_deadline = now_ + seconds{5};
        for (unsigned i = 0; i < pieces; ++i) {
            group.pieces.push_back({std::to_string(group.id), 0, i, "key", {}});
        }
        const auto id = group.id;
        waiting_[id] = {group.soft_deadline, group.priority};
        ++counts_[group.priority].requested;
        auto& queue =
            workload_.queueing_mode == queueing::per_endpoint_shortest
                ? *std::min_element(queues_.begin(), queues_.end(),
                                    [](const auto& left, const auto& right) {
                                        return left.waiting_pieces() < right.waiting_pieces();
                                    })
                : queues_[random_() % queues_.size()];
        (void)queue.offer(std::move(group), now_);
    }

    void step() {
        std::erase_if(running_, [&](const running& active) {
            if (active.ends > now_) {
                return false;
            }
            std::vector<piece_result> results(active.call.pieces.size(),
                                              {piece_outcome::made, "handle"});
            queues_[active.queue].call_ended(active.call.id, call_outcome::answered, results, now_);
            return true;
        });
        for (std::size_t i = 0; i < queues_.size(); ++i) {
            for (auto& call : queues_[i].next_calls(now_)) {
                auto& free_at = free_at_[call.endpoint];
                const auto begins = std::max(free_at, now_);
                free_at = begins + capacity_.call_time + capacity_.piece_time * call.pieces.size();
                running_.push_back({i, std::move(call), free_at});
            }
            for (const auto& ended : queues_[i].take_finished(now_)) {
                const auto [soft_deadline, priority] = waiting_[ended.id];
                counts_[priority].on_time += !ended.expired && now_ <= soft_deadline ? 1 : 0;
            }
        }
    }

    workload workload_;
    std::mt19937_64 random_;
    catalog::stage_capacity capacity_;
    std::vector<catalog::endpoint> endpoints_;
    std::vector<stage_queue> queues_;
    std::map<std::string, time_point> free_at_;
    std::vector<running> running_;
    std::map<std::uint64_t, std::pair<time_point, int>> waiting_;
    std::map<int, request_counts> counts_;
    std::uint64_t next_id_{1};
    time_point now_{seconds{1'000}};
};

request_counts total_of(const std::map<int, request_counts>& counts_by_priority) {
    request_counts sum;
    for (const auto& [priority, counts] : counts_by_priority) {
        sum.requested += counts.requested;
        sum.on_time += counts.on_time;
    }
    return sum;
}

} // namespace

// The burst is within the throughput of full calls and above that of half-empty calls.
TEST_CASE("one queue serves a burst that a queue at each entry does not", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    INFO("seed " << seed);
    workload burst;
    const auto shared_queue =
        total_of(burst_simulation{burst, seed}.run(seconds{20})).on_time_ratio();
    burst.queues = 3;
    const auto per_entry = total_of(burst_simulation{burst, seed}.run(seconds{20})).on_time_ratio();
    INFO("one queue " << shared_queue << ", a queue at each entry " << per_entry);
    CHECK(shared_queue >= 0.95);
    CHECK(shared_queue > per_entry);
}

// If groups are assigned to endpoints on arrival, one endpoint idles while pieces wait for another.
TEST_CASE("one queue serves a burst that a queue at each endpoint does not", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    workload burst;
    const auto shared_queue =
        total_of(burst_simulation{burst, seed}.run(seconds{20})).on_time_ratio();
    burst.queueing_mode = queueing::per_endpoint;
    const auto per_endpoint =
        total_of(burst_simulation{burst, seed}.run(seconds{20})).on_time_ratio();
    burst.queueing_mode = queueing::per_endpoint_shortest;
    const auto shortest = total_of(burst_simulation{burst, seed}.run(seconds{20})).on_time_ratio();
    INFO("seed " << seed << ": one queue " << shared_queue << ", a queue at each endpoint "
                 << per_endpoint << ", the shortest of these " << shortest);
    CHECK(shared_queue >= 0.95);
    CHECK(shared_queue > per_endpoint);
    CHECK(shared_queue >= shortest);
}

// Two entries both act as the dispatcher, as can happen after a network partition.
TEST_CASE("two concurrent dispatchers still serve most requests in time", "[load]") {
    workload steady;
    steady.in_burst = steady.pieces_per_second;
    steady.queues = 2;
    CHECK(total_of(burst_simulation{steady, 5}.run(seconds{20})).on_time_ratio() >= 0.8);
}

// With two endpoints missing, the load exceeds the capacity, and not all requests can be served in
// time.
TEST_CASE("in overload, more urgent requests are served first", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    workload overload;
    overload.pieces_per_second = overload.in_burst;
    overload.missing = 2;
    const auto counts_by_priority = burst_simulation{overload, seed}.run(seconds{20});
    CHECK(counts_by_priority.at(0).on_time_ratio() >= 0.9);
    CHECK(counts_by_priority.at(0).on_time_ratio() >= counts_by_priority.at(1).on_time_ratio());
    CHECK(counts_by_priority.at(1).on_time_ratio() >= counts_by_priority.at(2).on_time_ratio());
    // Three of the five endpoints process 86 of 140 pieces per second.
    CHECK(total_of(counts_by_priority).on_time_ratio() >= 0.5);
}
