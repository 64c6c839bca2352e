/// \file
/// Counters, gauges and latency quantiles, served in the text exposition format.
#pragma once

#include "base/time.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace boragefront {

/// A monotonic counter; thread-safe.
class counter {
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that can go up and down; thread-safe.
class gauge {
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_{0};
};

/// Streaming quantiles of durations, by Boost.Accumulators; thread-safe.
class latency_quantiles {
public:
    latency_quantiles();
    ~latency_quantiles();
    latency_quantiles(const latency_quantiles&) = delete;
    latency_quantiles& operator=(const latency_quantiles&) = delete;

    void record(duration value);
    std::uint64_t count() const;
    milliseconds sum() const;

    /// Estimate of the median, the 95th or the 99th percentile.
    /// \param quantile 0.5, 0.95 or 0.99; other values give the nearest of these.
    duration quantile(double quantile) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// The metrics of one process. References that it returns stay valid for its lifetime, except those
/// of gauges that are removed.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// The counter with this name and label set, created on first use.
    /// \param labels as in `kind="expired"`, or empty.
    counter& get_counter(std::string_view name, std::string_view labels = {});
    gauge& get_gauge(std::string_view name, std::string_view labels = {});
    /// Removes a gauge, of which nobody keeps a reference. One that does not exist is ignored.
    void remove_gauge(std::string_view name, std::string_view labels);
    latency_quantiles& get_latency(std::string_view name, std::string_view labels = {});

    /// All metrics in the text exposition format.
    std::string exposition() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace boragefront
