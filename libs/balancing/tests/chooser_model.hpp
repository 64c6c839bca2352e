/// \file
/// Choosers that send requests to the endpoints of one plain service, on a virtual clock.
#pragma once

#include "balancing/endpoint_pool.hpp"
#include "base/random.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace boragefront::balancing {

enum class policy { round_robin, least_requests, previous_cost, estimates };

/// One pattern of load and of endpoints.
struct load_pattern {
    std::size_t endpoints{18};
    std::size_t choosers{25};
    double utilisation{0.6}; ///< at usual speed
    unsigned slots{6};
    bool engine{false};
    /// Duration of work relative to the usual one.
    std::function<double(std::size_t endpoint, unsigned running, double at_s)> slowness =
        [](std::size_t, unsigned, double) { return 1.0; };
    /// The fourth figure of its load report.
    std::function<double(std::size_t endpoint, double at_s)> reported = [](std::size_t, double) {
        return 100.0;
    };
};

struct latency_summary {
    double mean_ms;
    double p95_ms;
};

class chooser_model {
public:
    chooser_model(load_pattern pattern, policy chosen_by, unsigned seed = 7)
        : random_{seed}, pattern_{std::move(pattern)}, policy_{chosen_by},
          servers_(pattern_.endpoints), choosers_(pattern_.choosers) {
        catalog::service service;
        service.name = "model";
        service.engine = pattern_.engine ? std::optional{catalog::engine_capacity{}} : std::nullopt;
        std::vector<catalog::endpoint> listed(pattern_.endpoints);
        for (std::size_t i = 0; i < listed.size(); ++i) {
            listed[i].id = std::to_string(i);
            listed[i].service = "model";
            listed[i].slots = pattern_.slots;
            listed[i].seen_at = start - seconds{60};
        }
        for (std::size_t i = 0; i < choosers_.size(); ++i) {
            choosers_[i].pool.set_endpoints(listed, {}, service, start);
            choosers_[i].own.resize(listed.size());
            choosers_[i].next = i % listed.size();
        }
    }

    /// Latencies of the requests that arrive from 5 s to 25 s after the start.
    latency_summary run() {
        const double rate = pattern_.utilisation * static_cast<double>(pattern_.endpoints) *
                            pattern_.slots / work_s;
        std::exponential_distribution<double> gap{rate};
        double arrival = gap(random_);
        double gossip = 0.3;
        while (arrival < 25) {
            if (!events_.empty() && events_.top().at < std::min(arrival, gossip)) {
                const auto ended = events_.top();
                events_.pop();
                now_ = ended.at;
                finish(ended);
            } else if (gossip < arrival) {
                now_ = gossip;
                exchange();
                gossip += 0.3;
            } else {
                now_ = arrival;
                arrive();
                arrival += gap(random_);
            }
        }
        std::sort(latencies_.begin(), latencies_.end());
        double sum = 0;
        for (const auto one : latencies_) {
            sum += one;
        }
        return {sum / static_cast<double>(latencies_.size()) * 1'000,
                latencies_[latencies_.size() * 95 / 100] * 1'000};
    }

private:
    static constexpr time_point start{seconds{1'000}};
    static constexpr double work_s = 0.06;
    struct request {
        std::size_t chooser;
        std::size_t endpoint;
        std::uint64_t ticket;
        double sent_at;
    };
    struct event {
        double at;
        request ended;
        bool operator<(const event& other) const { return at > other.at; }
    };
    struct server {
        unsigned running{0};
        std::deque<request> waiting;
    };
    struct chooser {
        endpoint_pool pool;
        std::vector<unsigned> own;
        std::size_t next{0};
    };

    time_point clock() const {
        return start + std::chrono::duration_cast<duration>(std::chrono::duration<double>(now_));
    }
    std::size_t choose(chooser& by) {
        if (policy_ == policy::round_robin) {
            return by.next++ % pattern_.endpoints;
        }
        if (policy_ == policy::least_requests) {
            const auto first = random_() % pattern_.endpoints;
            auto best = first;
            for (std::size_t i = 0; i < pattern_.endpoints; ++i) {
                const auto other = (first + i) % pattern_.endpoints;
                best = by.own[other] < by.own[best] ? other : best;
            }
            return best;
        }
        return std::stoul(by.pool.choose({}, {}, group_, clock(), random_)->id);
    }
    void arrive() {
        const auto number = random_() % choosers_.size();
        auto& by = choosers_[number];
        const auto target = choose(by);
        ++by.own[target];
        const auto ticket = by.pool.on_request_sent(std::to_string(target), {}, group_, clock());
        servers_[target].waiting.push_back({number, target, ticket, now_});
        serve(target);
    }
    void serve(std::size_t number) {
        auto& at = servers_[number];
        while (at.running < pattern_.slots && !at.waiting.empty()) {
            ++at.running;
            std::uniform_real_distribution<double> size{0.5, 1.5};
            const double took =
                work_s * size(random_) * pattern_.slowness(number, at.running, now_);
            events_.push({now_ + took, at.waiting.front()});
            at.waiting.pop_front();
        }
    }
    void finish(const event& ended) {
        const auto& [number, target, ticket, sent_at] = ended.ended;
        auto& at = servers_[target];
        auto& by = choosers_[number];
        reported_load load{at.running, static_cast<unsigned>(at.waiting.size()), pattern_.slots};
        if (policy_ == policy::estimates) {
            load.slowness_percent = static_cast<unsigned>(pattern_.reported(target, now_));
        }
        const auto id = std::to_string(target);
        by.pool.on_load_report(id, load, clock());
        by.pool.on_first_byte(id, ticket, clock());
        by.pool.on_request_ended(id, ticket, send_outcome::answered, clock());
        --by.own[target];
        --at.running;
        serve(target);
        if (sent_at > 5) {
            latencies_.push_back(now_ - sent_at);
        }
    }
    // One round of gossip: each entry tells four others.
    void exchange() {
        for (const auto& from : choosers_) {
            const auto reports = from.pool.capacity_reports(clock());
            for (int i = 0; i < 4; ++i) {
                choosers_[random_() % choosers_.size()].pool.merge_capacity(reports, clock());
            }
        }
    }

    random_source random_;
    load_pattern pattern_;
    policy policy_;
    std::vector<server> servers_;
    std::vector<chooser> choosers_;
    std::priority_queue<event> events_;
    std::vector<double> latencies_;
    entry_group group_{"self", {"self"}};
    double now_{0};
};

} // namespace boragefront::balancing
