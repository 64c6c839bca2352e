/// \file
/// An endpoint in memory: service times, a cold start that it can fall over in, and faults.
#pragma once

#include "base/random.hpp"
#include "virtual_clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace boragefront::bench {

struct endpoint_traits {
    unsigned concurrency{4};
    unsigned cold_limit{1};
    duration service_time{milliseconds{20}};
};

/// How a call ended, as its caller sees it.
enum class run_end : std::uint8_t { answered, failed, overloaded, not_connected, lost };

/// An endpoint that takes calls on the virtual clock.
class endpoint_model {
public:
    using on_end = std::function<void(run_end, duration service_time)>;

    endpoint_model(virtual_clock& clock, endpoint_traits traits, std::uint64_t seed)
        : clock_{clock}, traits_{traits}, random_{seed} {}

    /// Takes a call. \returns its number, by which it can be cancelled.
    std::uint64_t run(on_end done);
    void cancel(std::uint64_t call);

    void set_slow_factor(double factor) { slow_factor_ = factor; }
    void set_failing(bool failing) { failing_ = failing; }
    void turn_cold();
    void warm_at_once() { warm_ = true; }

    bool is_cold() const { return !warm_; }
    bool is_down() const { return clock_.now() < down_until_; }
    std::size_t running() const { return running_.size(); }
    std::string instance() const { return std::to_string(life_); }
    std::uint64_t falls() const { return falls_; }

    /// Time spent on calls, whatever became of them.
    duration busy() const { return busy_; }

    /// The most that was in progress while it was cold, of what arrived since it turned cold.
    std::size_t peak_while_cold() const { return peak_while_cold_; }

private:
    void finish(std::uint64_t call, duration took);
    void fall_over();
    duration draw_service_time();

    virtual_clock& clock_;
    endpoint_traits traits_;
    random_source random_;
    struct running_call {
        on_end done;
        time_point started;
    };
    std::map<std::uint64_t, running_call> running_;
    duration busy_{0};
    std::uint64_t calls_{0};
    std::uint64_t life_{1};
    std::uint64_t falls_{0};
    std::size_t peak_while_cold_{0};
    unsigned completed_{0};
    double slow_factor_{1.0};
    bool failing_{false};
    bool warm_{false};
    time_point down_until_{};
};

} // namespace boragefront::bench
