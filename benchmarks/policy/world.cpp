/// \file
#include "world.hpp"

#include "virtual_request.hpp"

#include <algorithm>

namespace boragefront::bench {
namespace {

constexpr seconds warm_up_time{5};
constexpr seconds fault_after{15};
constexpr double slow_factor = 5.0;
constexpr double burst_factor = 2.0; // of the usual rate, in every fifth second
constexpr double calm_factor = 0.75; // in the other four, so that the mean is the usual rate
constexpr int burst_period = 5;
constexpr unsigned entries = 2;

class deployment_run {
public:
    deployment_run(const deployment_plan& deployment, const row_plan& row)
        : deployment_{deployment}, row_{row}, random_{row.seed} {
        make_endpoints();
        for (unsigned i = 0; i < entries; ++i) {
            const auto& home = deployment.data_centres[i % deployment.data_centres.size()];
            entries_.push_back(std::make_unique<virtual_entry>(
                fleet_, row.policy, home, deployment.between_data_centres, random_()));
        }
    }

    row_result run() {
        const auto start = fleet_.clock.now() + warm_up_time;
        end_ = start + row_.length;
        fleet_.arrivals_end = end_;
        for (const auto& service : deployment_.services) {
            fleet_.clock.at(start, [this, &service] { arrive(service); });
        }
        fleet_.clock.at(start + fault_after, [this] { begin_fault(); });
        const auto longest = seconds{20};
        fleet_.clock.run_until(end_ + longest);
        for (const auto& node : fleet_.nodes) {
            fleet_.result.cost.falls += node->endpoint.falls();
            fleet_.result.cost.busy += milliseconds_of(node->endpoint.busy());
        }
        return fleet_.result;
    }

private:
    void make_endpoints() {
        for (const auto& pool : deployment_.pools) {
            for (unsigned i = 0; i < pool.endpoints; ++i) {
                const auto& place = deployment_.data_centres[i % deployment_.data_centres.size()];
                auto node = std::make_unique<virtual_node>(
                    fleet_.clock, pool.name, pool.name + '-' + std::to_string(i), place,
                    pool.traits, row_.policy.mechanisms, random_());
                node->endpoint.warm_at_once();
                fleet_.nodes.push_back(std::move(node));
            }
        }
    }

    double rate_now(const service_plan& service) const {
        if (service.fixed_rate) {
            return service.rate;
        }
        const auto second =
            std::chrono::duration_cast<seconds>(fleet_.clock.now().time_since_epoch());
        const bool burst = second.count() % burst_period == 0;
        return service.rate * row_.load * (burst ? burst_factor : calm_factor);
    }

    void arrive(const service_plan& service) {
        if (fleet_.clock.now() >= end_) {
            return;
        }
        std::exponential_distribution<double> gap{rate_now(service)};
        const auto pause = std::chrono::duration<double>{gap(random_)};
        fleet_.clock.after(std::chrono::duration_cast<duration>(pause),
                           [this, &service] { arrive(service); });
        auto& entry = *entries_[next_entry_++ % entries_.size()];
        entry.receive(service);
    }

    void begin_fault() {
        std::map<std::string, bool> hit;
        for (const auto& node : fleet_.nodes) {
            const bool first_of_pool = !std::exchange(hit[node->pool], true);
            switch (row_.what) {
            case fault::slow:
                node->endpoint.set_slow_factor(first_of_pool ? slow_factor : 1.0);
                break;
            case fault::failing:
                node->endpoint.set_failing(first_of_pool);
                break;
            case fault::cold:
                if (node->data_centre == deployment_.data_centres.front()) {
                    node->endpoint.turn_cold();
                }
                break;
            case fault::all_fail:
                node->endpoint.set_failing(node->pool == deployment_.pools.front().name);
                break;
            case fault::none:
                break;
            }
        }
    }

    const deployment_plan& deployment_;
    const row_plan& row_;
    random_source random_;
    fleet fleet_;
    std::vector<std::unique_ptr<virtual_entry>> entries_;
    std::size_t next_entry_{0};
    time_point end_{};
};

} // namespace

row_result run_row(const deployment_plan& deployment, const row_plan& row) {
    return deployment_run{deployment, row}.run();
}

} // namespace boragefront::bench
