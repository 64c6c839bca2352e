/// \file
/// Callers of a soak: on connections that they keep, now and then leaving before the answer.
#pragma once

#include "soak_record.hpp"
#include "soak_world.hpp"
#include "support/caller.hpp"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace boragefront::soak {

class soak_callers {
public:
    soak_callers(std::vector<gateway_addresses> gateways, unsigned count, std::uint64_t seed);
    ~soak_callers();
    soak_callers(const soak_callers&) = delete;
    soak_callers& operator=(const soak_callers&) = delete;

    /// Stops after the calls that are being made. \returns all calls.
    std::vector<soak_call> stop();

private:
    void run(unsigned number, std::uint64_t seed);
    soak_call make_call(support::blocking_client& client, const std::string& id,
                        random_source& random);

    std::vector<gateway_addresses> gateways_;
    support::balancer balancer_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<soak_call> calls_;
    std::vector<std::thread> threads_;
};

} // namespace boragefront::soak
