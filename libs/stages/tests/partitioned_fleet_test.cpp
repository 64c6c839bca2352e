// Simulates a network partition of the entries, all of which still reach the endpoints, on a
// virtual clock.
#include "stages/contended_endpoints.hpp"
#include "stages/stage_queue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

constexpr milliseconds tick{5};
constexpr seconds partition_ends{12};
constexpr seconds burst_begins{5};
constexpr seconds burst_ends{9};
constexpr std::size_t max_queued_calls = 2;

struct fleet {
    std::size_t entries{41};
    std::size_t isolated{14}; ///< entries that reach no other entry
    std::size_t crashed{
        0}; ///< entries that crashed, which the others cannot tell from isolated ones
    std::size_t endpoints{46};
    bool divides_endpoints{true}; ///< each part avoids the endpoints of the others
    double pieces_per_second{0};  ///< from all entries
    double in_burst{0};
};

struct request_counts {
    int requested{0};
    int on_time{0};
    int calls{0};
    int calls_refused{0};
    double on_time_ratio() const {
        return requested == 0 ? 0 : static_cast<double>(on_time) / requested;
    }
    double refused_ratio() const {
        return calls == 0 ? 0 : static_cast<double>(calls_refused) / calls;
    }
};

// Endpoints that run one call at a time and queue two. One queue serves the connected entries; each
// isolated entry has its own until the partition ends.
class partition_simulation {
public:
    partition_simulation(const fleet& setup, std::uint64_t seed) : fleet_{setup}, random_{seed} {
        capacity_.batch = 10;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{13};
        capacity_.queue = max_queued_calls;
        capacity_.result_lifetime = seconds{4};
        for (std::size_t i = 0; i < setup.endpoints; ++i) {
            catalog::endpoint endpoint;
            endpoint.id = "endpoint-" + std::to_string(i);
            endpoint.service = "stage";
            endpoint.address = endpoint.id;
            endpoints_.push_back(endpoint);
        }
        for (std::size_t i = 0; i <= setup.isolated; ++i) {
            queues_.push_back(stage_queue::make(capacity_));
            queues_.back().set_endpoints(endpoints_, {}, "stage", now_);
        }
        if (setup.divides_endpoints) {
            divide_endpoints();
        }
    }

    // Returns the counts of requests during the partition and after it.
    std::pair<request_counts, request_counts> run(seconds time) {
        const auto begun = now_;
        auto next = now_;
        while (now_ < begun + time) {
            const auto time_in = now_ - begun;
            if (time_in >= partition_ends && !healed_) {
                heal_partition();
            }
            while (next <= now_) {
                arrive();
                const bool burst = time_in >= burst_begins && time_in < burst_ends;
                const double rate = burst ? fleet_.in_burst : fleet_.pieces_per_second;
                std::exponential_distribution<double> gap{rate / mean_pieces};
                next += std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>{gap(random_)});
            }
            step();
            now_ += tick;
        }
        return {during_, after_};
    }

private:
    static constexpr double mean_pieces = 2;
    struct running {
        std::size_t queue;
        stage_call call;
        time_point ends;
        bool refused;
    };
    struct requested_group {
        time_point soft_deadline{};
        bool during{false};
    };

    static weighted_entry entry(std::size_t number) {
        return {"entry-" + std::to_string(number), 0.25};
    }

    // Entries below `isolated` have a queue each; the others share the last one.
    void divide_endpoints() {
        std::vector<weighted_entry> connected;
        std::vector<weighted_entry> disconnected;
        for (std::size_t i = 0; i < fleet_.entries; ++i) {
            (i < fleet_.isolated + fleet_.crashed ? disconnected : connected).push_back(entry(i));
        }
        queues_.back().set_contended(contended_endpoints(endpoints_, "stage", connected.front().id,
                                                         connected, disconnected));
        for (std::size_t i = 0; i < fleet_.isolated; ++i) {
            std::vector<weighted_entry> unresponsive = connected;
            for (std::size_t other = 0; other < fleet_.isolated; ++other) {
                if (other != i) {
                    unresponsive.push_back(entry(other));
                }
            }
            queues_[i].set_contended(
                contended_endpoints(endpoints_, "stage", entry(i).id, {entry(i)}, unresponsive));
        }
    }

    void heal_partition() {
        healed_ = true;
        queues_.back().set_contended({});
    }

    void arrive() {
        std::poisson_distribution<unsigned> more_pieces{mean_pieces - 1};
        const auto pieces = 1 + more_pieces(random_);
        const std::size_t at = random_() % fleet_.entries;
        const std::size_t queue = !healed_ && at < fleet_.isolated ? at : queues_.size() - 1;
        piece_group group;
        group.id = next_id_++;
        group.soft_deadline = now_ + milliseconds{700};
        group.hard_deadline = now_ + seconds{4};
        for (unsigned i = 0; i < pieces; ++i) {
            group.pieces.push_back({std::to_string(group.id), 0, i, "key", {}});
        }
        waiting_[group.id] = {group.soft_deadline, !healed_};
        ++(healed_ ? after_ : during_).requested;
        (void)queues_[queue].offer(std::move(group), now_);
    }

    void step() {
        for (std::size_t i = 0; i < running_.size();) {
            if (running_[i].ends > now_) {
                ++i;
                continue;
            }
            auto ended = std::move(running_[i]);
            running_[i] = std::move(running_.back());
            running_.pop_back();
            std::vector<piece_result> results;
            if (!ended.refused) {
                results.assign(ended.call.pieces.size(), {piece_outcome::made, "handle"});
            }
            queues_[ended.queue].call_ended(
                ended.call.id, ended.refused ? call_outcome::refused : call_outcome::answered,
                results, now_);
        }
        for (std::size_t i = 0; i < queues_.size(); ++i) {
            for (auto& call : queues_[i].next_calls(now_)) {
                begin(i, std::move(call));
            }
            for (const auto& ended : queues_[i].take_finished(now_)) {
                const auto requested = waiting_[ended.id];
                auto& counts = requested.during ? during_ : after_;
                counts.on_time += !ended.expired && now_ <= requested.soft_deadline ? 1 : 0;
            }
        }
    }

    void begin(std::size_t queue, stage_call call) {
        auto& counts = healed_ ? after_ : during_;
        ++counts.calls;
        auto& ends = ends_[call.endpoint];
        while (!ends.empty() && ends.front() <= now_) {
            ends.pop_front();
        }
        if (ends.size() > max_queued_calls) {
            ++counts.calls_refused;
            running_.push_back({queue, std::move(call), now_ + tick, true});
            return;
        }
        const auto begins = ends.empty() ? now_ : ends.back();
        const auto end = begins + capacity_.call_time + capacity_.piece_time * call.pieces.size();
        ends.push_back(end);
        running_.push_back({queue, std::move(call), end, false});
    }

    fleet fleet_;
    std::mt19937_64 random_;
    catalog::stage_capacity capacity_;
    std::vector<catalog::endpoint> endpoints_;
    std::vector<stage_queue> queues_;
    std::map<std::string, std::deque<time_point>> ends_; // end times of the calls at each endpoint
    std::vector<running> running_;
    std::map<std::uint64_t, requested_group> waiting_;
    request_counts during_;
    request_counts after_;
    std::uint64_t next_id_{1};
    bool healed_{false};
    time_point now_{seconds{1'000}};
};

fleet large_fleet() {
    fleet setup;
    setup.pieces_per_second = 850;
    setup.in_burst = 1'150;
    return setup;
}

} // namespace

TEST_CASE("partitioned dispatchers do not contend for endpoints", "[load]") {
    const auto seed = GENERATE(range(1U, 4U));
    INFO("seed " << seed);
    partition_simulation simulation{large_fleet(), seed};
    const auto [during, after] = simulation.run(seconds{20});
    INFO("in time " << during.on_time_ratio() << ", " << after.on_time_ratio() << "; calls refused "
                    << during.refused_ratio() << ", " << after.refused_ratio());
    CHECK(during.refused_ratio() < 0.01);
    CHECK(after.refused_ratio() < 0.01);
    CHECK(during.on_time_ratio() > 0.9);
    CHECK(after.on_time_ratio() > 0.95);
    auto undivided = large_fleet();
    undivided.divides_endpoints = false;
    const auto [contending, healed] = partition_simulation{undivided, seed}.run(seconds{20});
    CHECK(contending.on_time_ratio() < during.on_time_ratio());
    CHECK(contending.refused_ratio() > during.refused_ratio());
}

TEST_CASE("endpoints assigned to crashed entries are used under load", "[load]") {
    auto setup = large_fleet();
    setup.isolated = 0;
    setup.crashed = 8;
    partition_simulation simulation{setup, 1};
    const auto [during, after] = simulation.run(seconds{12});
    CHECK(during.on_time_ratio() > 0.95);
}

TEST_CASE("the parts of a partitioned fleet agree on the assignment of endpoints") {
    std::vector<catalog::endpoint> endpoints(46);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].id = "endpoint-" + std::to_string(i);
        endpoints[i].service = "stage";
    }
    std::vector<weighted_entry> first_part;
    std::vector<weighted_entry> second_part;
    for (int i = 0; i < 41; ++i) {
        (i < 9 ? first_part : second_part)
            .push_back({"entry-" + std::to_string(i), i % 2 == 0 ? 0.2 : 0.4});
    }
    const auto contended_for_first =
        contended_endpoints(endpoints, "stage", "entry-0", first_part, second_part);
    const auto contended_for_second =
        contended_endpoints(endpoints, "stage", "entry-20", second_part, first_part);
    CHECK(contended_for_first.size() + contended_for_second.size() == endpoints.size());
    for (const auto& id : contended_for_first) {
        CHECK_FALSE(contended_for_second.contains(id));
    }
    CHECK(contended_endpoints(endpoints, "stage", "entry-0", first_part, {}).empty());
    CHECK(contended_endpoints(endpoints, "none", "entry-0", first_part, second_part).empty());
}

TEST_CASE("an entry without an assigned endpoint still gets one") {
    std::vector<catalog::endpoint> endpoints(2);
    for (std::size_t i = 0; i < 2; ++i) {
        endpoints[i].id = "endpoint-" + std::to_string(i);
        endpoints[i].service = "stage";
    }
    constexpr int entries = 300;
    std::vector<weighted_entry> unresponsive;
    unresponsive.reserve(entries);
    for (int i = 0; i < entries; ++i) {
        unresponsive.push_back({"entry-" + std::to_string(i), 0.25});
    }
    CHECK(contended_endpoints(endpoints, "stage", "self", {{"self", 0.25}}, unresponsive).size() ==
          1);
}
