/// \file
/// Cold starts of an endpoint and of its sidecar, simulated on a virtual clock under more work than
/// the endpoint bears; judged by the endpoint's own account.
#include "work_scheduler.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace boragefront;
using namespace boragefront::sidecar;

namespace {

constexpr incarnation life = 7;
constexpr unsigned full_limit = 8;
constexpr unsigned cold_limit = 2;
constexpr milliseconds step{1};

// Takes longer while cold, is warm after a number of completions, reports its load with a lag.
class simulated_endpoint {
public:
    explicit simulated_endpoint(std::uint64_t seed) : random_{seed} {}

    void begin(const work_id& id, time_point now) {
        std::uniform_int_distribution<int> jitter{0, 20};
        const milliseconds usual{40 + jitter(random_)};
        running_[id] = {now + (cold_ ? 10 * usual : usual), cold_};
        peak_ = std::max(peak_, running_.size());
        const auto cold = std::count_if(running_.begin(), running_.end(),
                                        [](const auto& entry) { return entry.second.second; });
        peak_cold_ = std::max(peak_cold_, static_cast<std::size_t>(cold));
    }

    std::vector<work_id> take_finished(time_point now) {
        std::vector<work_id> finished;
        for (const auto& [id, run] : running_) {
            if (run.first <= now) {
                finished.push_back(id);
            }
        }
        for (const auto& id : finished) {
            running_.erase(id);
            cold_ = cold_ && ++completed_ < 4;
        }
        return finished;
    }

    // What a reader learns now: the state of `lag` ago.
    load_report report(time_point now) {
        load_report current;
        current.answering = current.instance = "life" + std::to_string(lives_);
        current.cold = cold_;
        current.running = running_.size();
        history_.emplace_back(now, current);
        while (history_.size() > 1 && history_[1].first <= now - lag) {
            history_.pop_front();
        }
        auto seen = history_.front().second;
        seen.answering = current.answering;
        return seen;
    }

    void turn_cold() {
        cold_ = true;
        completed_ = 0;
    }

    std::vector<work_id> restart() {
        ++lives_;
        turn_cold();
        std::vector<work_id> lost;
        for (const auto& [id, run] : running_) {
            lost.push_back(id);
        }
        running_.clear();
        return lost;
    }

    void forget_peaks() { peak_ = peak_cold_ = 0; }
    std::size_t peak() const { return peak_; }
    std::size_t peak_cold() const { return peak_cold_; }

private:
    static constexpr milliseconds lag{200};
    random_source random_;
    std::map<work_id, std::pair<time_point, bool>> running_; // its end, and whether begun cold
    std::deque<std::pair<time_point, load_report>> history_;
    bool cold_{true};
    int completed_{0};
    int lives_{1};
    std::size_t peak_{0};
    std::size_t peak_cold_{0};
};

class simulation {
public:
    explicit simulation(std::uint64_t seed, scheduler_policy policy = {})
        : policy_{policy}, endpoint_{seed} {
        policy_.limits = {full_limit, 32};
        policy_.ramp = {cold_limit, 2, 4.0};
        start_sidecar();
    }

    // As after the death of a sidecar: its calls break, yet the endpoint goes on with them.
    void start_sidecar() {
        scheduler_.emplace(policy_, life, clock());
        scheduler_->set_phase(service_phase::serving, clock());
    }

    void run(milliseconds time) {
        for (const auto until = now_ + time; now_ < until; now_ += step) {
            for (const auto& id : endpoint_.take_finished(now_)) {
                ++completions;
                const ledger::answer whole;
                scheduler_->finish(id, call_end::answered, whole, clock());
            }
            every(milliseconds{50},
                  [&] { scheduler_->on_load_report(endpoint_.report(now_), clock()); });
            every(milliseconds{20}, [&] { scheduler_->tick(clock()); });
            send_more();
            while (const auto id = scheduler_->next(clock())) {
                endpoint_.begin(*id, now_);
            }
            (void)scheduler_->take_settled();
        }
    }

    void restart_endpoint() {
        for (const auto& id : endpoint_.restart()) {
            const auto lost = make_error(error_kind::connection_lost, "restarted");
            scheduler_->finish(id, call_end::lost, lost, clock());
        }
    }

    bool is_full() const { return scheduler_->state(now_).limit == full_limit; }
    simulated_endpoint& endpoint() { return endpoint_; }
    const scheduler_state state() const { return scheduler_->state(now_); }

    int completions{0};

private:
    clock_reading clock() const { return {now_, wall_time{}}; }

    template <class Action>
    void every(milliseconds interval, Action action) {
        if ((now_ - time_point{}) % interval == duration::zero()) {
            action();
        }
    }

    void send_more() {
        while (scheduler_->queued() < 30) {
            offered_work work;
            work.life = life;
            work.record.id = {"r", 0, ++sent_};
            work.record.expires_at = now_ + seconds{20};
            work.workspace = "w";
            work.idempotent = true;
            if (!std::holds_alternative<ledger::admitted>(scheduler_->offer(work, clock()))) {
                break;
            }
        }
    }

    scheduler_policy policy_;
    time_point now_{seconds{100}};
    simulated_endpoint endpoint_;
    std::optional<work_scheduler> scheduler_;
    std::uint32_t sent_{0};
};

void check_peaks(simulation& world) {
    CHECK(world.endpoint().peak() <= full_limit);
    CHECK(world.endpoint().peak_cold() <= cold_limit);
}

} // namespace

TEST_CASE("a started endpoint is not given more than it bears, and is soon in full use") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        simulation world{seed};
        while (!world.is_full() && world.completions < 60) {
            world.run(milliseconds{10});
        }
        REQUIRE(world.is_full());
        world.run(seconds{2});
        check_peaks(world);
        REQUIRE(world.endpoint().peak() == full_limit);
    }
}

TEST_CASE("without the ramp a started endpoint is given too much") {
    scheduler_policy policy;
    policy.mechanisms.ramp = false;
    simulation world{1, policy};
    world.run(seconds{3});
    REQUIRE(world.endpoint().peak_cold() > cold_limit);
}

TEST_CASE("a sidecar that starts anew accounts for the work of its predecessor") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        simulation world{seed};
        world.run(seconds{4} + milliseconds{seed});
        REQUIRE(world.is_full());
        world.start_sidecar();
        world.completions = 0;
        while (!world.is_full() && world.completions < 60) {
            world.run(milliseconds{10});
        }
        REQUIRE(world.is_full());
        world.run(seconds{1});
        check_peaks(world);
    }
}

TEST_CASE("without that account the endpoint's limit is passed") {
    scheduler_policy policy;
    policy.abandoned.enabled = false;
    policy.mechanisms.ramp = false;
    simulation world{1, policy};
    world.run(seconds{4});
    world.start_sidecar();
    world.run(seconds{1});
    REQUIRE(world.endpoint().peak() > full_limit);
}

TEST_CASE("an endpoint that restarts under load is taken to be cold at once") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        simulation world{seed};
        world.run(seconds{4} + milliseconds{seed});
        world.restart_endpoint();
        world.endpoint().forget_peaks();
        world.completions = 0;
        while (!world.is_full() && world.completions < 60) {
            world.run(milliseconds{10});
        }
        REQUIRE(world.is_full());
        check_peaks(world);
    }
}

// What was sent before any sign can be seen is more than a cold endpoint bears; nothing is sent
// on top of it once the first sign is there.
TEST_CASE("an endpoint that turns cold without a word is found out before its work completes") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        simulation world{seed};
        world.run(seconds{4} + milliseconds{seed});
        world.endpoint().turn_cold();
        world.run(milliseconds{300});
        REQUIRE(world.state().limit == cold_limit);
        world.run(milliseconds{600});
        world.endpoint().forget_peaks();
        world.completions = 0;
        while (!world.is_full() && world.completions < 60) {
            world.run(milliseconds{10});
        }
        REQUIRE(world.is_full());
        check_peaks(world);
    }
}
