#include "capacity/load_curve.hpp"

#include <algorithm>
#include <cmath>

namespace boragefront::capacity {
namespace {

constexpr double forget_after_s = 4; // time constant of the weight of an observation
constexpr double min_weight = 6;     // observations
constexpr double min_load_variance = 0.5;
constexpr double min_rise = 0.05; // per request, as a share of the latency of a single one
constexpr double min_fit = 0.2;   // share of the variance of latency that the line explains

constexpr double min_latency_share = 0.3; // of the mean; bounds the extrapolation to low loads

} // namespace

void load_curve::record(unsigned in_progress, double latency, time_point now) {
    const double elapsed_s = std::chrono::duration<double>(now - recorded_at_).count();
    const double kept = std::exp(-std::max(elapsed_s, 0.0) / forget_after_s);
    const auto load = static_cast<double>(in_progress);
    weight_ = weight_ * kept + 1;
    load_ = load_ * kept + load;
    load_squared_ = load_squared_ * kept + load * load;
    latency_ = latency_ * kept + latency;
    latency_squared_ = latency_squared_ * kept + latency * latency;
    product_ = product_ * kept + load * latency;
    recorded_at_ = now;
}

load_curve::line load_curve::fit() const {
    const double mean_load = load_ / weight_;
    const double mean_latency = latency_ / weight_;
    const double load_variance = load_squared_ / weight_ - mean_load * mean_load;
    const double latency_variance = latency_squared_ / weight_ - mean_latency * mean_latency;
    const double covariance = product_ / weight_ - mean_load * mean_latency;
    const line level{mean_latency, 0};
    if (weight_ < min_weight || load_variance < min_load_variance || covariance <= 0 ||
        covariance * covariance < min_fit * load_variance * latency_variance) {
        return level;
    }
    const double slope = covariance / load_variance;
    const double intercept = mean_latency - slope * mean_load;
    const double idle_latency = std::max(intercept, 0.0) + slope;
    return slope < min_rise * idle_latency ? level : line{intercept, slope};
}

double load_curve::concurrency() const {
    const auto [intercept, slope] = fit();
    // Throughput is load / latency. It rises as fast as latency where load = intercept / slope.
    return slope > 0 ? std::max(intercept / slope, 1.0) : 0;
}

double load_curve::latency_at(unsigned in_progress) const {
    const auto [intercept, slope] = fit();
    const double mean_latency = latency_ / weight_;
    return std::max(intercept + slope * static_cast<double>(in_progress),
                    min_latency_share * mean_latency);
}

} // namespace boragefront::capacity
