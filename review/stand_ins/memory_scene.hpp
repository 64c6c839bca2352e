/// \file
/// Callers of short orders on kept connections, sound workers that run them, and a platform that
/// kills the program when it exceeds its memory.
#pragma once

#include "stand_ins.hpp"

#include <atomic>
#include <string>
#include <vector>

namespace review {

/// `limits.memory_mb` of an entry machine, in KiB.
inline constexpr std::size_t memory_limit_kb = 260U * 1'024U;
/// By the rule LOST: this many requests may be lost.
inline constexpr int lost_limit = 3;

class memory_scene {
public:
    /// Registers three sound workers of the service "orders".
    memory_scene(store& platform, record& notes);

    /// Starts callers of host "order.example", and the supervision of the program's memory.
    void start(gateway& entry);

    /// Waits for the callers. Returns how many requests were lost: passed on to a sound worker, on
    /// a kept connection, which ended without an answer.
    int finish();

    std::size_t peak_kilobytes() const { return peak_; }
    bool killed() const { return killed_; }
    int answered() const { return answered_; }

private:
    void serve(connection& with);
    void call(const gateway& entry, int caller);
    void supervise(gateway& entry);

    record& notes_;
    std::vector<std::unique_ptr<listener>> workers_;
    std::vector<std::thread> threads_;
    std::mutex mutex_;
    std::map<std::string, bool> reached_; // by id of request
    std::atomic<bool> stopped_{false};
    std::atomic<bool> killed_{false};
    std::atomic<std::size_t> peak_{0};
    std::atomic<int> lost_{0};
    std::atomic<int> answered_{0};
};

/// The configuration of these cases: "order.example" runs once, "chat.example" is a stream.
std::string memory_configuration();

} // namespace review
