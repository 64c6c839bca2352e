// A burst of requests on a stage service, on a virtual clock.
#include "stages/stage_queue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <random>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

constexpr milliseconds look{5};
constexpr seconds burst_begins{5};
constexpr seconds burst_ends{11};

// Who queues pieces for whom.
enum class queueing : std::uint8_t {
    shared,         ///< each queue sends to all endpoints
    owned,          ///< each endpoint has a queue; an arriving group takes one at random
    owned_shortest, ///< as before; it takes the shortest, as if all entries knew all queues
};

struct load {
    queueing how{queueing::shared};
    std::size_t queues{1}; ///< 1: one dispatcher for the service; more: each entry for itself
    std::size_t endpoints{5};
    std::size_t lost{0}; ///< endpoints that are gone from the start
    double pieces_per_second{80};
    double in_burst{140}; ///< pieces a second, for six seconds
    milliseconds wanted_in{600};
};

struct share {
    int asked{0};
    int in_time{0};
    double of_all() const { return asked == 0 ? 0 : static_cast<double>(in_time) / asked; }
};

// Endpoints that make one call at a time and queue the others, shared by all queues.
class stage_world {
public:
    stage_world(const load& of, std::uint64_t seed) : load_{of}, random_{seed} {
        capacity_.batch = 8;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{16};
        capacity_.result_lifetime = seconds{4};
        for (std::size_t i = 0; i + of.lost < of.endpoints; ++i) {
            catalog::endpoint one;
            one.id = "endpoint-" + std::to_string(i);
            one.service = "stage";
            one.address = one.id;
            endpoints_.push_back(one);
        }
        const bool shared = of.how == queueing::shared;
        for (std::size_t i = 0; i < (shared ? of.queues : endpoints_.size()); ++i) {
            const std::vector<catalog::endpoint> own{endpoints_[shared ? 0 : i]};
            queues_.push_back(stage_queue::make(capacity_));
            queues_.back().set_endpoints(shared ? endpoints_ : own, {}, "stage", now_);
        }
    }

    // Returns by priority how many requests had all their pieces in time.
    std::map<int, share> run(seconds time) {
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
                const double rate = burst ? load_.in_burst : load_.pieces_per_second;
                std::exponential_distribution<double> gap{rate / mean_pieces};
                next += std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>{gap(random_)});
            }
            step();
            now_ += look;
        }
        return shares_;
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
        group.soft_deadline = now_ + load_.wanted_in;
        group.hard_deadline = now_ + seconds{5};
        for (unsigned i = 0; i < pieces; ++i) {
            group.pieces.push_back({std::to_string(group.id), 0, i, "key", {}});
        }
        const auto id = group.id;
        waiting_[id] = {group.soft_deadline, group.priority};
        ++shares_[group.priority].asked;
        auto& queue =
            load_.how == queueing::owned_shortest
                ? *std::min_element(queues_.begin(), queues_.end(),
                                    [](const auto& one, const auto& other) {
                                        return one.waiting_pieces() < other.waiting_pieces();
                                    })
                : queues_[random_() % queues_.size()];
        (void)queue.offer(std::move(group), now_);
    }

    void step() {
        std::erase_if(running_, [&](const running& one) {
            if (one.ends > now_) {
                return false;
            }
            std::vector<piece_result> results(one.call.pieces.size(),
                                              {piece_outcome::made, "handle"});
            queues_[one.queue].call_ended(one.call.id, call_outcome::answered, results, now_);
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
                shares_[priority].in_time += !ended.expired && now_ <= soft_deadline ? 1 : 0;
            }
        }
    }

    load load_;
    std::mt19937_64 random_;
    catalog::stage_capacity capacity_;
    std::vector<catalog::endpoint> endpoints_;
    std::vector<stage_queue> queues_;
    std::map<std::string, time_point> free_at_;
    std::vector<running> running_;
    std::map<std::uint64_t, std::pair<time_point, int>> waiting_;
    std::map<int, share> shares_;
    std::uint64_t next_id_{1};
    time_point now_{seconds{1'000}};
};

share all_of(const std::map<int, share>& shares) {
    share sum;
    for (const auto& [priority, one] : shares) {
        sum.asked += one.asked;
        sum.in_time += one.in_time;
    }
    return sum;
}

} // namespace

// The pattern: a burst that full calls carry and half-empty calls do not.
TEST_CASE("one queue serves a burst that a queue at each entry does not", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    INFO("seed " << seed);
    load burst;
    const auto one = all_of(stage_world{burst, seed}.run(seconds{20})).of_all();
    burst.queues = 3;
    const auto each = all_of(stage_world{burst, seed}.run(seconds{20})).of_all();
    INFO("one queue " << one << ", a queue at each entry " << each);
    CHECK(one >= 0.95);
    CHECK(one > each);
}

// The pattern: a burst that meets groups which have been given to endpoints one by one, so that one
// endpoint idles while pieces wait for another.
TEST_CASE("one queue serves a burst that a queue at each endpoint does not", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    load burst;
    const auto one = all_of(stage_world{burst, seed}.run(seconds{20})).of_all();
    burst.how = queueing::owned;
    const auto owned = all_of(stage_world{burst, seed}.run(seconds{20})).of_all();
    burst.how = queueing::owned_shortest;
    const auto shortest = all_of(stage_world{burst, seed}.run(seconds{20})).of_all();
    INFO("seed " << seed << ": one queue " << one << ", a queue at each endpoint " << owned
                 << ", the shortest of these " << shortest);
    CHECK(one >= 0.95);
    CHECK(one > owned);
    CHECK(one >= shortest);
}

// The pattern: two entries both believe that they dispatch, as after a partition.
TEST_CASE("two dispatchers at once cost time and no request", "[load]") {
    load usual;
    usual.in_burst = usual.pieces_per_second;
    usual.queues = 2;
    CHECK(all_of(stage_world{usual, 5}.run(seconds{20})).of_all() >= 0.8);
}

// The pattern: a burst that meets two endpoints less, so that not all can be served in time.
TEST_CASE("in overload the urgent are served, and what is late yields", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    load overload;
    overload.pieces_per_second = overload.in_burst;
    overload.lost = 2;
    const auto shares = stage_world{overload, seed}.run(seconds{20});
    CHECK(shares.at(0).of_all() >= 0.9);
    CHECK(shares.at(0).of_all() >= shares.at(1).of_all());
    CHECK(shares.at(1).of_all() >= shares.at(2).of_all());
    // Three of five endpoints carry 86 of 140 pieces a second.
    CHECK(all_of(shares).of_all() >= 0.5);
}
