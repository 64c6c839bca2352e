// Simulates a stage service whose endpoints run out of memory for results on a virtual clock.
#include "queue_fixture.hpp"
#include "simulated_endpoints.hpp"
#include "stages/stage_plan.hpp"
#include "stages/stage_queue.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace boragefront;
using namespace boragefront::stages;

namespace {

constexpr milliseconds tick{5};
constexpr std::uint64_t result_bytes = 3'000'000;
constexpr milliseconds chain_time{900}; // of the other stages of a long request

// When a request whose results are only read at the end of a chain of other stages asks for them.
enum class start : std::uint8_t {
    at_arrival,
    just_in_time,
};

struct request_counts {
    int requested{0};
    int on_time{0};
    double on_time_ratio() const { return static_cast<double>(on_time) / requested; }
};

// Short requests read their results at once; long ones only when the rest of a chain is complete.
// Three endpoints hold 14 results each.
class room_simulation {
public:
    room_simulation(start long_requests, std::uint64_t seed)
        : long_requests_{long_requests}, random_{seed} {
        capacity_.batch = 8;
        capacity_.call_time = milliseconds{150};
        capacity_.piece_time = milliseconds{16};
        capacity_.result_memory_bytes = 44'000'000;
        capacity_.result_lifetime = seconds{4};
        queue_ = stage_queue::make(capacity_);
        queue_.set_endpoints(make_endpoints(3), {}, "stage", now_);
    }

    // Returns the counts of the short requests.
    request_counts run(seconds time) {
        constexpr double short_rate = 17; // requests per second, of 2.5 pieces on average
        constexpr double long_rate = 7;
        const auto until = now_ + time;
        auto next_short = now_;
        auto next_long = now_;
        for (; now_ < until; now_ += tick) {
            for (; next_short <= now_; next_short += gap(short_rate)) {
                ++counts_.requested;
                schedule({now_, now_ + milliseconds{900}, now_, 0});
            }
            for (; next_long <= now_; next_long += gap(long_rate)) {
                schedule({now_ + delay_of_long_requests(), now_ + milliseconds{2'500},
                          now_ + chain_time, 1});
            }
            step();
        }
        return counts_;
    }

private:
    struct arrival {
        time_point offered_at;
        time_point soft_deadline;
        time_point read_not_before; // the request reads the results then or once they are complete
        int priority{0};
    };

    milliseconds delay_of_long_requests() const {
        if (long_requests_ == start::at_arrival) {
            return milliseconds{0};
        }
        catalog::route route;
        route.stages = {{"stage", {}, result_bytes}, {"chain", {}, 0}};
        const auto plan = stage_plan::make(route, "r", "key", {2, 1});
        return plan.value().start_delay(0, [&](std::size_t stage, std::size_t pieces) {
            return stage == 0 ? queue_.service_time(pieces) : chain_time;
        });
    }

    duration gap(double rate) {
        std::exponential_distribution<double> drawn{rate};
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>{drawn(random_)});
    }

    void schedule(arrival planned) { planned_.emplace(planned.offered_at, planned); }

    void offer(const arrival& planned) {
        std::uniform_int_distribution<unsigned> drawn{1, 4};
        piece_group group;
        group.id = next_id_++;
        group.priority = planned.priority;
        group.result_bytes = result_bytes;
        group.soft_deadline = planned.soft_deadline;
        group.hard_deadline = now_ + seconds{5};
        for (unsigned i = drawn(random_); i > 0; --i) {
            group.pieces.push_back({std::to_string(group.id), 0, i, "key", {}});
        }
        arrivals_[group.id] = planned;
        (void)queue_.offer(std::move(group), now_);
    }

    void step() {
        while (!planned_.empty() && planned_.begin()->first <= now_) {
            offer(planned_.begin()->second);
            planned_.erase(planned_.begin());
        }
        while (!reads_.empty() && reads_.begin()->first <= now_) {
            queue_.release(reads_.begin()->second);
            reads_.erase(reads_.begin());
        }
        std::erase_if(running_, [&](const auto& item) {
            if (item.second > now_) {
                return false;
            }
            std::vector<piece_result> results;
            for (std::size_t i = 0; i < item.first.pieces.size(); ++i) {
                results.push_back({piece_outcome::made, "h" + std::to_string(next_handle_++)});
            }
            queue_.call_ended(item.first.id, call_outcome::answered, results, now_);
            return true;
        });
        for (auto& call : queue_.next_calls(now_)) {
            const auto ends =
                now_ + capacity_.call_time + capacity_.piece_time * call.pieces.size();
            running_.emplace_back(std::move(call), ends);
        }
        for (const auto& ended : queue_.take_finished(now_)) {
            const auto& planned = arrivals_[ended.id];
            if (ended.expired) {
                continue;
            }
            counts_.on_time += planned.priority == 0 && now_ <= planned.soft_deadline ? 1 : 0;
            constexpr milliseconds time_to_read{400}; // of an engine, until its first token
            std::vector<std::string> handles;
            for (const auto& result : ended.results) {
                handles.push_back(result.handle);
            }
            reads_.emplace(std::max(now_, planned.read_not_before) + time_to_read, handles);
        }
    }

    start long_requests_;
    std::mt19937_64 random_;
    time_point now_{seconds{1'000}};
    catalog::stage_capacity capacity_;
    stage_queue queue_;
    std::multimap<time_point, arrival> planned_;
    std::multimap<time_point, std::vector<std::string>> reads_;
    std::vector<std::pair<stage_call, time_point>> running_;
    std::map<std::uint64_t, arrival> arrivals_;
    request_counts counts_;
    std::uint64_t next_id_{1};
    std::uint64_t next_handle_{1};
};

} // namespace

// Results of long requests took up memory while the rest of their chain ran, and short, more urgent
// requests found no room.
TEST_CASE("large results that are produced just in time leave room for other requests", "[load]") {
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    const double early = room_simulation{start::at_arrival, seed}.run(seconds{30}).on_time_ratio();
    const double in_time =
        room_simulation{start::just_in_time, seed}.run(seconds{30}).on_time_ratio();
    INFO("seed " << seed << ": at arrival " << early << ", just in time " << in_time);
    // 60 pieces per second hold their memory for 0.7 s on average; there is room for 42.
    CHECK(in_time >= 0.9);
    CHECK(in_time > early);
}

// Guards against calls that find no room because of results that were ordered before a restart.
TEST_CASE_METHOD(queue_fixture, "after a restart half of the room counts as used for a second") {
    constexpr std::uint64_t bytes = 1'000'000;
    capacity.result_memory_bytes = capacity.batch * bytes;
    queue.set_capacity(capacity);
    add_endpoint("e1");
    queue.assume_unknown_results(now);
    for (std::uint64_t id = 1; id <= capacity.batch; ++id) {
        offer(id, 1, 0, milliseconds{2'000}, bytes);
    }
    auto calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].pieces.size() == capacity.batch / 2);
    complete(calls[0]);
    std::vector<std::string> handles;
    for (const auto& piece : calls[0].pieces) {
        handles.push_back(calls[0].address + '/' + piece.request_id + ".0");
    }
    CHECK(queue.release(handles));
    now += seconds{1};
    for (std::uint64_t id = 11; id <= 10 + capacity.batch / 2; ++id) {
        offer(id, 1, 0, milliseconds{2'000}, bytes);
    }
    calls = queue.next_calls(now);
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].pieces.size() == capacity.batch);
}

// Results of entries that were killed are freed by nobody and take up room until they expire.
// With room estimated to be free again after a second, most calls to such an endpoint found
// none.
TEST_CASE("a lasting shortage of room is tried ever more seldom, and one that has ended is "
          "forgotten") {
    catalog::stage_capacity capacity;
    capacity.batch = 8;
    capacity.call_time = milliseconds{150};
    capacity.result_memory_bytes = 8 * result_bytes;
    capacity.result_lifetime = seconds{4};
    auto queue = stage_queue::make(capacity);
    time_point now{seconds{1'000}};
    queue.set_endpoints(make_endpoints(1), {}, "stage", now);
    std::uint64_t next_id = 1;
    const auto offer = [&] {
        piece_group group;
        group.id = next_id++;
        group.pieces = {{std::to_string(group.id), 0, 0, "key", {}}};
        group.result_bytes = result_bytes;
        group.soft_deadline = group.hard_deadline = now + seconds{60};
        const auto admitted = queue.offer(std::move(group), now);
        REQUIRE(admitted.accepted);
    };
    // Runs calls for a time and returns the number of pieces that were sent.
    const auto run = [&](seconds time, piece_outcome outcome) {
        std::size_t sent = 0;
        for (const auto until = now + time; now < until; now += milliseconds{25}) {
            for (const auto& call : queue.next_calls(now)) {
                sent += call.pieces.size();
                now += milliseconds{150};
                const std::vector<piece_result> results(
                    call.pieces.size(),
                    {outcome,
                     outcome == piece_outcome::made ? "h/" + std::to_string(call.id) : ""});
                queue.call_ended(call.id, call_outcome::answered, results, now);
                (void)queue.release({"h/" + std::to_string(call.id)});
            }
            (void)queue.take_finished(now);
        }
        return sent;
    };
    for (int i = 0; i < 40; ++i) {
        offer();
    }
    const auto first = run(seconds{4}, piece_outcome::no_room);
    const auto second = run(seconds{4}, piece_outcome::no_room);
    CHECK(second * 2 <= first);
    run(seconds{9}, piece_outcome::made); // the results have expired
    offer();
    CHECK(run(seconds{1}, piece_outcome::made) == 1);
}
