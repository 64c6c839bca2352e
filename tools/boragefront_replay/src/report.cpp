#include "report.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>

namespace boragefront::replay {
namespace {

constexpr double median = 0.5;
constexpr double high = 0.95;
constexpr double highest = 0.99;
constexpr double percent = 100.0;
constexpr int name_width = 20;
constexpr int wide_name_width = 26;
constexpr int number_width = 10;

using durations = std::vector<duration>;

// The smallest value that at least the given share of the values does not exceed.
milliseconds quantile_of(const durations& sorted, double share) {
    if (sorted.empty()) {
        return milliseconds{0};
    }
    const auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    const auto index = std::max<std::size_t>(static_cast<std::size_t>(rank), 1) - 1;
    return std::chrono::round<milliseconds>(sorted[index]);
}

quantiles quantiles_of(durations values) {
    std::sort(values.begin(), values.end());
    return {quantile_of(values, median), quantile_of(values, high), quantile_of(values, highest)};
}

// One part of the trace while it is being counted.
struct part {
    tally counts;
    durations latencies;

    void take(const trace_entry& entry, const outcome& ended) {
        ++counts.requests;
        if (ended.kind != "answer") {
            return;
        }
        latencies.push_back(ended.latency);
        ++(attained(entry, ended) ? counts.attained : counts.late);
    }

    tally finish() {
        counts.latency = quantiles_of(std::move(latencies));
        return counts;
    }
};

std::size_t second_of(const trace_entry& entry, double speed) {
    const auto due = std::chrono::duration<double>(entry.arrival).count() / speed;
    return static_cast<std::size_t>(due);
}

void count_second(std::vector<second_tally>& all, std::size_t second, bool was_attained) {
    if (all.size() <= second) {
        all.resize(second + 1);
    }
    ++all[second].requests;
    all[second].attained += was_attained ? 1 : 0;
}

boost::json::object to_object(const quantiles& values) {
    return {{"p50_ms", values.p50.count()},
            {"p95_ms", values.p95.count()},
            {"p99_ms", values.p99.count()}};
}

boost::json::object to_object(const tally& part) {
    return {{"requests", part.requests},
            {"attained", part.attained},
            {"late", part.late},
            {"attainment", attainment(part)},
            {"latency", to_object(part.latency)}};
}

double in_milliseconds(microseconds value) {
    return std::chrono::duration<double, std::milli>{value}.count();
}

boost::json::object to_object(const stage_cost& stage) {
    return {{"service", stage.service},
            {"stage", stage.stage},
            {"useful_ms", in_milliseconds(stage.useful)},
            {"wasted_ms", in_milliseconds(stage.wasted)}};
}

void write_row(std::ostream& out, const std::string& name, const tally& part) {
    out << std::left << std::setw(name_width) << name << std::right << std::setw(number_width)
        << part.requests << std::setw(number_width) << part.attained << std::setw(number_width)
        << part.late << std::setw(number_width) << std::fixed << std::setprecision(2)
        << percent * attainment(part) << std::setw(number_width) << part.latency.p50.count()
        << std::setw(number_width) << part.latency.p95.count() << std::setw(number_width)
        << part.latency.p99.count() << '\n';
}

void write_services(std::ostream& out, const report& measured) {
    out << std::left << std::setw(name_width) << "service" << std::right;
    for (const auto* title : {"requests", "attained", "late", "%", "p50 ms", "p95 ms", "p99 ms"}) {
        out << std::setw(number_width) << title;
    }
    out << '\n';
    for (const auto& [service, counts] : measured.by_service) {
        write_row(out, service, counts);
    }
    write_row(out, "all", measured.all);
}

void write_outcomes(std::ostream& out, const report& measured) {
    out << "\noutcome                  count\n";
    for (const auto& [kind, count] : measured.outcomes) {
        out << std::left << std::setw(name_width) << kind << std::right << std::setw(number_width)
            << count << '\n';
    }
    out << "as the trace expects: " << measured.as_expected << " of " << measured.total
        << "; first token p50/p95/p99: " << measured.first_token.p50.count() << '/'
        << measured.first_token.p95.count() << '/' << measured.first_token.p99.count() << " ms\n";
}

// Endpoint time of a stage for each request that its service answered.
double per_answer(const report& measured, const stage_cost& stage) {
    const auto service = measured.by_service.find(stage.service);
    if (service == measured.by_service.end()) {
        return 0.0;
    }
    const auto answered = service->second.attained + service->second.late;
    return answered == 0
               ? 0.0
               : in_milliseconds(stage.useful + stage.wasted) / static_cast<double>(answered);
}

void write_stages(std::ostream& out, const report& measured) {
    if (measured.stages.empty()) {
        return;
    }
    out << '\n'
        << std::left << std::setw(wide_name_width) << "endpoint time by stage" << std::right;
    for (const auto* title : {"useful ms", "wasted ms", "ms/answer"}) {
        out << std::setw(number_width) << title;
    }
    out << '\n' << std::fixed << std::setprecision(1);
    for (const auto& stage : measured.stages) {
        out << std::left << std::setw(wide_name_width) << stage.service + '/' + stage.stage
            << std::right << std::setw(number_width) << in_milliseconds(stage.useful)
            << std::setw(number_width) << in_milliseconds(stage.wasted) << std::setw(number_width)
            << per_answer(measured, stage) << '\n';
    }
}

void write_timeline(std::ostream& out, const report& measured) {
    out << "\nsecond  requests  attained\n";
    for (std::size_t second = 0; second < measured.seconds.size(); ++second) {
        const auto& counts = measured.seconds[second];
        out << std::setw(6) << second << std::setw(number_width) << counts.requests
            << std::setw(number_width) << counts.attained
            << (counts.attained < counts.requests ? "  *" : "") << '\n';
    }
}

} // namespace

double attainment(const tally& part) {
    if (part.requests == 0) {
        return 1.0;
    }
    return static_cast<double>(part.attained) / static_cast<double>(part.requests);
}

report make_report(const std::vector<trace_entry>& trace, const std::vector<outcome>& outcomes,
                   double speed) {
    report measured;
    part all;
    std::map<std::string, part> parts;
    durations first_tokens;
    for (std::size_t i = 0; i < trace.size(); ++i) {
        const auto& entry = trace[i];
        const auto& ended = outcomes[i];
        ++measured.total;
        ++measured.outcomes[ended.kind];
        measured.as_expected += ended.kind == entry.expected.outcome ? 1 : 0;
        if (entry.expected.outcome != "answer") {
            continue;
        }
        all.take(entry, ended);
        parts[entry.service].take(entry, ended);
        count_second(measured.seconds, second_of(entry, speed), attained(entry, ended));
        if (ended.first_token > duration{0}) {
            first_tokens.push_back(ended.first_token);
        }
    }
    measured.all = all.finish();
    for (auto& [service, counts] : parts) {
        measured.by_service.emplace(service, counts.finish());
    }
    measured.first_token = quantiles_of(std::move(first_tokens));
    return measured;
}

void write_table(std::ostream& out, const report& measured, bool timeline) {
    write_services(out, measured);
    write_outcomes(out, measured);
    write_stages(out, measured);
    if (timeline) {
        write_timeline(out, measured);
    }
}

std::string to_json(const report& measured) {
    boost::json::object services;
    for (const auto& [service, counts] : measured.by_service) {
        services[service] = to_object(counts);
    }
    boost::json::object outcomes;
    for (const auto& [kind, count] : measured.outcomes) {
        outcomes[kind] = count;
    }
    boost::json::array seconds;
    for (const auto& second : measured.seconds) {
        seconds.push_back(
            boost::json::object{{"requests", second.requests}, {"attained", second.attained}});
    }
    boost::json::array stages;
    for (const auto& stage : measured.stages) {
        stages.push_back(to_object(stage));
    }
    return boost::json::serialize(
        boost::json::object{{"all", to_object(measured.all)},
                            {"services", services},
                            {"outcomes", outcomes},
                            {"as_expected", measured.as_expected},
                            {"total", measured.total},
                            {"first_token", to_object(measured.first_token)},
                            {"seconds", seconds},
                            {"stages", stages}});
}

} // namespace boragefront::replay
