// A fleet that a cut divides, all of whose parts reach the endpoints; on a virtual clock.
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

constexpr milliseconds look{5};
constexpr seconds cut_ends{12};
constexpr seconds burst_begins{5};
constexpr seconds burst_ends{9};
constexpr std::size_t calls_waiting_at_most = 2;

struct fleet {
    std::size_t entries{41};
    std::size_t isolated{14}; ///< entries of which each sees nobody
    std::size_t gone{0};      ///< entries that died, which the others take to be cut off
    std::size_t endpoints{46};
    bool shares{true};           ///< endpoints are divided among the parts
    double pieces_per_second{0}; ///< of all entries
    double in_burst{0};
};

struct outcome {
    int asked{0};
    int in_time{0};
    int calls{0};
    int calls_full{0};
    double share_in_time() const { return asked == 0 ? 0 : static_cast<double>(in_time) / asked; }
    double share_full() const { return calls == 0 ? 0 : static_cast<double>(calls_full) / calls; }
};

// Endpoints that make one call at a time and let two wait. One queue for the entries that see each
// other, and one at each isolated entry until the cut ends.
class divided_world {
public:
    divided_world(const fleet& of, std::uint64_t seed) : fleet_{of}, random_{seed} {
        capacity_.batch = 10;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{13};
        capacity_.queue = calls_waiting_at_most;
        capacity_.result_lifetime = seconds{4};
        for (std::size_t i = 0; i < of.endpoints; ++i) {
            catalog::endpoint one;
            one.id = "endpoint-" + std::to_string(i);
            one.service = "stage";
            one.address = one.id;
            endpoints_.push_back(one);
        }
        for (std::size_t i = 0; i <= of.isolated; ++i) {
            queues_.push_back(stage_queue::make(capacity_));
            queues_.back().set_endpoints(endpoints_, {}, "stage", now_);
        }
        if (of.shares) {
            divide();
        }
    }

    // Returns what was asked for during the cut, and after it.
    std::pair<outcome, outcome> run(seconds time) {
        const auto begun = now_;
        auto next = now_;
        while (now_ < begun + time) {
            const auto time_in = now_ - begun;
            if (time_in >= cut_ends && !healed_) {
                heal();
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
            now_ += look;
        }
        return {during_, after_};
    }

private:
    static constexpr double mean_pieces = 2;
    struct running {
        std::size_t queue;
        stage_call call;
        time_point ends;
        bool full;
    };
    struct asked_group {
        time_point soft_deadline{};
        bool during{false};
    };

    static weighted_entry entry(std::size_t number) {
        return {"entry-" + std::to_string(number), 0.25};
    }

    // Entries below `isolated` have a queue each; the others share the last one.
    void divide() {
        std::vector<weighted_entry> together;
        std::vector<weighted_entry> apart;
        for (std::size_t i = 0; i < fleet_.entries; ++i) {
            (i < fleet_.isolated + fleet_.gone ? apart : together).push_back(entry(i));
        }
        queues_.back().set_contended(
            contended_endpoints(endpoints_, "stage", together.front().id, together, apart));
        for (std::size_t i = 0; i < fleet_.isolated; ++i) {
            std::vector<weighted_entry> silent = together;
            for (std::size_t other = 0; other < fleet_.isolated; ++other) {
                if (other != i) {
                    silent.push_back(entry(other));
                }
            }
            queues_[i].set_contended(
                contended_endpoints(endpoints_, "stage", entry(i).id, {entry(i)}, silent));
        }
    }

    void heal() {
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
        ++(healed_ ? after_ : during_).asked;
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
            if (!ended.full) {
                results.assign(ended.call.pieces.size(), {piece_outcome::made, "handle"});
            }
            queues_[ended.queue].call_ended(
                ended.call.id, ended.full ? call_outcome::refused : call_outcome::answered, results,
                now_);
        }
        for (std::size_t i = 0; i < queues_.size(); ++i) {
            for (auto& call : queues_[i].next_calls(now_)) {
                begin(i, std::move(call));
            }
            for (const auto& ended : queues_[i].take_finished(now_)) {
                const auto asked = waiting_[ended.id];
                auto& counts = asked.during ? during_ : after_;
                counts.in_time += !ended.expired && now_ <= asked.soft_deadline ? 1 : 0;
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
        if (ends.size() > calls_waiting_at_most) {
            ++counts.calls_full;
            running_.push_back({queue, std::move(call), now_ + look, true});
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
    std::map<std::string, std::deque<time_point>> ends_; // of the calls at an endpoint
    std::vector<running> running_;
    std::map<std::uint64_t, asked_group> waiting_;
    outcome during_;
    outcome after_;
    std::uint64_t next_id_{1};
    bool healed_{false};
    time_point now_{seconds{1'000}};
};

fleet large_fleet() {
    fleet of;
    of.pieces_per_second = 850;
    of.in_burst = 1'150;
    return of;
}

} // namespace

TEST_CASE("a divided fleet does not fight for the endpoints", "[load]") {
    const auto seed = GENERATE(range(1U, 4U));
    INFO("seed " << seed);
    divided_world world{large_fleet(), seed};
    const auto [during, after] = world.run(seconds{20});
    INFO("in time " << during.share_in_time() << ", " << after.share_in_time() << "; calls full "
                    << during.share_full() << ", " << after.share_full());
    CHECK(during.share_full() < 0.01);
    CHECK(after.share_full() < 0.01);
    CHECK(during.share_in_time() > 0.9);
    CHECK(after.share_in_time() > 0.95);
    auto undivided = large_fleet();
    undivided.shares = false;
    const auto [fighting, healed] = divided_world{undivided, seed}.run(seconds{20});
    CHECK(fighting.share_in_time() < during.share_in_time());
    CHECK(fighting.share_full() > during.share_full());
}

TEST_CASE("shares of entries that are gone are used when they are needed", "[load]") {
    auto of = large_fleet();
    of.isolated = 0;
    of.gone = 8;
    divided_world world{of, 1};
    const auto [during, after] = world.run(seconds{12});
    CHECK(during.share_in_time() > 0.95);
}

TEST_CASE("parts of a divided fleet agree on whose endpoints are whose") {
    std::vector<catalog::endpoint> endpoints(46);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        endpoints[i].id = "endpoint-" + std::to_string(i);
        endpoints[i].service = "stage";
    }
    std::vector<weighted_entry> one;
    std::vector<weighted_entry> other;
    for (int i = 0; i < 41; ++i) {
        (i < 9 ? one : other).push_back({"entry-" + std::to_string(i), i % 2 == 0 ? 0.2 : 0.4});
    }
    const auto not_of_one = contended_endpoints(endpoints, "stage", "entry-0", one, other);
    const auto not_of_other = contended_endpoints(endpoints, "stage", "entry-20", other, one);
    CHECK(not_of_one.size() + not_of_other.size() == endpoints.size());
    for (const auto& id : not_of_one) {
        CHECK_FALSE(not_of_other.contains(id));
    }
    CHECK(contended_endpoints(endpoints, "stage", "entry-0", one, {}).empty());
    CHECK(contended_endpoints(endpoints, "none", "entry-0", one, other).empty());
}

TEST_CASE("an entry to which no endpoint falls has one all the same") {
    std::vector<catalog::endpoint> endpoints(2);
    for (std::size_t i = 0; i < 2; ++i) {
        endpoints[i].id = "endpoint-" + std::to_string(i);
        endpoints[i].service = "stage";
    }
    constexpr int entries = 300;
    std::vector<weighted_entry> silent;
    silent.reserve(entries);
    for (int i = 0; i < entries; ++i) {
        silent.push_back({"entry-" + std::to_string(i), 0.25});
    }
    CHECK(contended_endpoints(endpoints, "stage", "self", {{"self", 0.25}}, silent).size() == 1);
}
