/// \file
#include "endpoint_model.hpp"

#include <algorithm>
#include <utility>

namespace boragefront::bench {
namespace {

constexpr double spread = 0.25; // of the logarithm of service times
constexpr double cold_factor = 3.0;
constexpr unsigned warm_after = 5; // completed calls
constexpr seconds down_time{3};
constexpr milliseconds failure_time{5};

} // namespace

std::uint64_t endpoint_model::run(on_end done) {
    const auto call = ++calls_;
    if (is_down()) {
        clock_.after(duration{0}, [done] { done(run_end::not_connected, duration{0}); });
        return call;
    }
    if (failing_) {
        busy_ += failure_time;
        clock_.after(failure_time, [done] { done(run_end::failed, failure_time); });
        return call;
    }
    if (warm_ && running_.size() >= traits_.concurrency) {
        clock_.after(duration{0}, [done] { done(run_end::overloaded, duration{0}); });
        return call;
    }
    running_.emplace(call, running_call{std::move(done), clock_.now()});
    if (!warm_) {
        peak_while_cold_ = std::max(peak_while_cold_, running_.size());
        if (running_.size() > traits_.cold_limit) {
            fall_over();
            return call;
        }
    }
    const auto took = draw_service_time();
    clock_.after(took, [this, call, took] { finish(call, took); });
    return call;
}

void endpoint_model::cancel(std::uint64_t call) {
    const auto found = running_.find(call);
    if (found != running_.end()) {
        busy_ += clock_.now() - found->second.started;
        running_.erase(found);
    }
}

void endpoint_model::finish(std::uint64_t call, duration took) {
    const auto found = running_.find(call);
    if (found == running_.end()) {
        return; // cancelled, or lost when it fell over
    }
    const auto done = std::move(found->second.done);
    running_.erase(found);
    busy_ += took;
    warm_ = warm_ || ++completed_ >= warm_after;
    done(run_end::answered, took);
}

void endpoint_model::fall_over() {
    ++falls_;
    ++life_;
    completed_ = 0;
    down_until_ = clock_.now() + down_time;
    const auto lost = std::exchange(running_, {});
    for (const auto& [call, record] : lost) {
        busy_ += clock_.now() - record.started;
        clock_.after(duration{0}, [done = record.done] { done(run_end::lost, duration{0}); });
    }
}

void endpoint_model::turn_cold() {
    warm_ = false;
    completed_ = 0;
    ++life_;
}

duration endpoint_model::draw_service_time() {
    std::lognormal_distribution<double> variation{0.0, spread};
    const double factor = variation(random_) * slow_factor_ * (warm_ ? 1.0 : cold_factor);
    return std::chrono::duration_cast<duration>(traits_.service_time * factor);
}

} // namespace boragefront::bench
