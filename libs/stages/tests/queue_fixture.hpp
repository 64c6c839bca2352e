/// \file
/// A stage queue on a virtual clock, with endpoints that respond as the test specifies.
#pragma once

#include "stages/stage_queue.hpp"

#include <stdexcept>
#include <string>
#include <vector>

namespace boragefront::stages {

struct queue_fixture {
    queue_fixture() {
        capacity.calls = 1;
        capacity.batch = 8;
        capacity.call_time = milliseconds{150};
        capacity.piece_time = milliseconds{16};
        capacity.result_lifetime = milliseconds{4'000};
        queue = stage_queue::make(capacity);
    }

    catalog::endpoint& add_endpoint(const std::string& id, const std::string& data_centre = "a") {
        catalog::endpoint endpoint;
        endpoint.id = id;
        endpoint.service = "stage";
        endpoint.address = "10.0.0." + std::to_string(endpoints.size() + 1) + ":80";
        endpoint.data_centre = data_centre;
        endpoints.push_back(endpoint);
        refresh();
        return endpoints.back();
    }

    void refresh() { queue.set_endpoints(endpoints, evacuated, "stage", now); }

    piece_group make_group(std::uint64_t id, unsigned pieces) const {
        piece_group group;
        group.id = id;
        group.soft_deadline = now + seconds{1};
        group.hard_deadline = now + seconds{20};
        for (unsigned i = 0; i < pieces; ++i) {
            group.pieces.push_back({std::to_string(id), 0, i, "key", {}});
        }
        return group;
    }

    void offer(std::uint64_t id, unsigned pieces, int priority = 0,
               milliseconds latency_goal = milliseconds{2'000}, std::uint64_t bytes = 0) {
        auto group = make_group(id, pieces);
        group.priority = priority;
        group.soft_deadline = now + latency_goal;
        group.result_bytes = bytes;
        if (!queue.offer(std::move(group), now).accepted) {
            throw std::runtime_error{"the stage queue refused a group"};
        }
    }

    // Advances the clock by the duration of the call and completes all its pieces.
    void complete(const stage_call& call, int slowdown = 1) {
        const auto nominal = capacity.call_time + capacity.piece_time * call.pieces.size();
        now += std::chrono::duration_cast<milliseconds>(nominal) * slowdown;
        std::vector<piece_result> results;
        for (const auto& piece : call.pieces) {
            results.push_back({piece_outcome::made, call.address + '/' + piece.request_id + '.' +
                                                        std::to_string(piece.number)});
        }
        queue.call_ended(call.id, call_outcome::answered, results, now);
    }

    // Starts a call of one piece, which keeps the only endpoint busy.
    stage_call occupy_endpoint() {
        offer(999, 1);
        auto calls = queue.next_calls(now);
        return calls.at(0);
    }

    time_point now{seconds{1'000}};
    catalog::stage_capacity capacity;
    std::vector<catalog::endpoint> endpoints;
    std::set<std::string, std::less<>> evacuated;
    stage_queue queue;
};

} // namespace boragefront::stages
