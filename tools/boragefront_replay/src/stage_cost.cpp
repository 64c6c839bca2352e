#include "stage_cost.hpp"

#include "peers/peers.hpp"

#include <cmath>
#include <iterator>
#include <map>

namespace boragefront::replay {
namespace {

constexpr std::string_view endpoint_time_metric = "boragefront_stage_endpoint_us_total";
constexpr std::string_view useful = "useful";
constexpr seconds metrics_timeout{5};

struct stage_name {
    std::string service;
    std::string stage;
    auto operator<=>(const stage_name&) const = default;
};

std::string label_of(const sample& one, std::string_view name) {
    const auto found = one.labels.find(name);
    return found == one.labels.end() ? std::string{} : found->second;
}

using costs = std::map<stage_name, stage_cost>;

void add_samples(costs& sums, const std::vector<sample>& samples, double sign) {
    for (const auto& one : samples) {
        if (one.name != endpoint_time_metric) {
            continue;
        }
        const stage_name name{label_of(one, "service"), label_of(one, "stage")};
        auto& cost = sums[name];
        cost.service = name.service;
        cost.stage = name.stage;
        const microseconds amount{std::llround(sign * one.value)};
        (label_of(one, "use") == useful ? cost.useful : cost.wasted) += amount;
    }
}

} // namespace

result<std::vector<sample>> read_metrics(const std::vector<std::string>& addresses) {
    std::vector<sample> all;
    const auto answers = peers::call_all(addresses, wire::metrics_request{}, metrics_timeout);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        auto answer = peers::expect<wire::metrics_answer>(answers[i]);
        if (!answer) {
            auto failure = answer.error();
            failure.detail = addresses[i] + ": " + failure.detail;
            return failure;
        }
        auto samples = parse_exposition(answer.value().exposition);
        std::move(samples.begin(), samples.end(), std::back_inserter(all));
    }
    return all;
}

std::vector<stage_cost> cost_between(const std::vector<sample>& before,
                                     const std::vector<sample>& after) {
    costs sums;
    add_samples(sums, before, -1.0);
    add_samples(sums, after, 1.0);
    std::vector<stage_cost> stages;
    for (auto& [name, cost] : sums) {
        if (cost.useful + cost.wasted > microseconds{0}) {
            stages.push_back(std::move(cost));
        }
    }
    return stages;
}

} // namespace boragefront::replay
