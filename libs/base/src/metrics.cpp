#include "base/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace boragefront {
namespace {

namespace acc = boost::accumulators;

constexpr std::array tracked_quantiles{0.5, 0.95, 0.99};

// Up to this many observations quantiles are exact: the accumulator's estimate is not yet usable.
constexpr std::size_t exact_observations = 32;

using quantile_accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

std::size_t nearest_tracked(double quantile) {
    std::size_t best = 0;
    for (std::size_t i = 1; i < tracked_quantiles.size(); ++i) {
        if (std::abs(tracked_quantiles.at(i) - quantile) <
            std::abs(tracked_quantiles.at(best) - quantile)) {
            best = i;
        }
    }
    return best;
}

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value) {
    return std::chrono::round<duration>(std::chrono::duration<double>{value});
}

std::string with_labels(const std::string& name, std::string_view labels,
                        std::string_view extra = {}) {
    std::string text = name;
    if (labels.empty() && extra.empty()) {
        return text;
    }
    text += '{';
    text += labels;
    if (!labels.empty() && !extra.empty()) {
        text += ',';
    }
    text += extra;
    text += '}';
    return text;
}

struct metric_key {
    std::string name;
    std::string labels;
    auto operator<=>(const metric_key&) const = default;
};

// Node-based, so that references stay valid when metrics are added.
template <class Metric>
using metric_map = std::map<metric_key, Metric>;

template <class Metric>
Metric& find_or_create(metric_map<Metric>& metrics, std::string_view name,
                       std::string_view labels) {
    return metrics[metric_key{std::string{name}, std::string{labels}}];
}

} // namespace

struct latency_quantiles::state {
    mutable std::mutex mutex;
    quantile_accumulator values{acc::extended_p_square_probabilities = tracked_quantiles};
    std::vector<double> first_values; ///< the first observations in seconds, sorted
};

latency_quantiles::latency_quantiles() : state_{std::make_unique<state>()} {}
latency_quantiles::~latency_quantiles() = default;

void latency_quantiles::record(duration value) {
    const std::scoped_lock lock{state_->mutex};
    state_->values(to_seconds(value));
    auto& first_values = state_->first_values;
    if (first_values.size() < exact_observations) {
        const auto position =
            std::upper_bound(first_values.begin(), first_values.end(), to_seconds(value));
        first_values.insert(position, to_seconds(value));
    }
}

std::uint64_t latency_quantiles::count() const {
    const std::scoped_lock lock{state_->mutex};
    return acc::count(state_->values);
}

milliseconds latency_quantiles::sum() const {
    const std::scoped_lock lock{state_->mutex};
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>{acc::sum(state_->values)});
}

duration latency_quantiles::quantile(double quantile) const {
    const std::scoped_lock lock{state_->mutex};
    const auto count = acc::count(state_->values);
    if (count == 0) {
        return duration{0};
    }
    if (count <= exact_observations) {
        const auto last = static_cast<double>(count - 1);
        return from_seconds(
            state_->first_values.at(static_cast<std::size_t>(std::lround(quantile * last))));
    }
    const auto estimates = acc::extended_p_square(state_->values);
    const double value = estimates[static_cast<std::ptrdiff_t>(nearest_tracked(quantile))];
    return from_seconds(value);
}

struct metrics_registry::state {
    mutable std::mutex mutex;
    metric_map<counter> counters;
    metric_map<gauge> gauges;
    metric_map<latency_quantiles> latencies;
};

metrics_registry::metrics_registry() : state_{std::make_unique<state>()} {}
metrics_registry::~metrics_registry() = default;

counter& metrics_registry::get_counter(std::string_view name, std::string_view labels) {
    const std::scoped_lock lock{state_->mutex};
    return find_or_create(state_->counters, name, labels);
}

gauge& metrics_registry::get_gauge(std::string_view name, std::string_view labels) {
    const std::scoped_lock lock{state_->mutex};
    return find_or_create(state_->gauges, name, labels);
}

void metrics_registry::remove_gauge(std::string_view name, std::string_view labels) {
    const std::scoped_lock lock{state_->mutex};
    state_->gauges.erase(metric_key{std::string{name}, std::string{labels}});
}

latency_quantiles& metrics_registry::get_latency(std::string_view name, std::string_view labels) {
    const std::scoped_lock lock{state_->mutex};
    return find_or_create(state_->latencies, name, labels);
}

std::string metrics_registry::exposition() const {
    const std::scoped_lock lock{state_->mutex};
    std::ostringstream out;
    for (const auto& [key, metric] : state_->counters) {
        out << with_labels(key.name, key.labels) << ' ' << metric.value() << '\n';
    }
    for (const auto& [key, metric] : state_->gauges) {
        out << with_labels(key.name, key.labels) << ' ' << metric.value() << '\n';
    }
    for (const auto& [key, metric] : state_->latencies) {
        for (const double quantile : tracked_quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << quantile << '"';
            out << with_labels(key.name, key.labels, label.str()) << ' '
                << to_seconds(metric.quantile(quantile)) << '\n';
        }
        out << with_labels(key.name + "_count", key.labels) << ' ' << metric.count() << '\n';
    }
    return out.str();
}

} // namespace boragefront
