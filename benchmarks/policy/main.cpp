/// \file
/// The policy under load and faults, on a virtual clock, beside its baselines. Exits with 1 if a
/// bound falls short.
#include "deployments.hpp"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <string>
#include <string_view>

DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_bool(quick, false, "one seed and short rows, as CI runs it");
DEFINE_bool(errors, false, "print each row's errors by kind");
DEFINE_double(load, 0, "run only rows of this load; 0 is all");
DEFINE_string(only, "", "run only rows whose name contains this");

namespace boragefront::bench {
namespace {

constexpr double plain_target = 0.999;
constexpr double pipeline_target = 0.99;
constexpr double goodput_target = 0.9;
constexpr double waste_target = 0.05;
constexpr double amplification_target = 1.1;
constexpr double early_target = 0.99;
constexpr double highest_normal_load = 0.8;
constexpr double overload = 2.0;

struct named_row {
    std::string name;
    const deployment_plan* deployment{nullptr};
    row_plan plan;
};

struct row_measures {
    double plain{1};
    double pipelines{1};
    double urgent{1};
    double goodput{0}; ///< pipelines answered in time, of the capacity
    double wasted{0};  ///< share of endpoint time
    double early{1};   ///< share of the refusals that came early
    double sent_per_stage{1};
    std::uint64_t falls{0};
};

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

row_measures measure(const named_row& row, const row_result& result) {
    row_measures measures;
    service_tally plain;
    service_tally all;
    for (const auto& service : row.deployment->services) {
        const auto found = result.services.find(service.name);
        if (found == result.services.end()) {
            continue;
        }
        const auto& tally = found->second;
        all.refused += tally.refused;
        all.refused_early += tally.refused_early;
        if (service.pipeline) {
            measures.pipelines = share(tally.attained, tally.offered);
            const auto length = std::chrono::duration<double>(row.plan.length).count();
            measures.goodput =
                static_cast<double>(tally.attained) / length / pipeline_capacity(*row.deployment);
            continue;
        }
        plain.offered += tally.offered;
        plain.attained += tally.attained;
        if (service.lane == config::lane::urgent) {
            measures.urgent = share(tally.attained, tally.offered);
        }
    }
    measures.plain = share(plain.attained, plain.offered);
    measures.early = share(all.refused_early, all.refused);
    if (result.cost.busy > 0) {
        measures.wasted = 1 - result.cost.useful / result.cost.busy;
    }
    measures.sent_per_stage = share(result.cost.attempts, result.cost.stages);
    measures.falls = result.cost.falls;
    return measures;
}

/// What a row of ours misses of the stated targets; empty if nothing.
std::string shortfall(const row_plan& plan, const row_measures& measures) {
    std::string missed;
    const auto require = [&](bool holds, std::string_view what) {
        if (!holds) {
            missed += (missed.empty() ? "" : ", ") + std::string{what};
        }
    };
    if (plan.what == fault::all_fail) {
        require(measures.sent_per_stage <= amplification_target, "sent/stage <= 1.1");
        return missed;
    }
    require(measures.falls == 0, "no endpoint falls over");
    if (plan.load <= highest_normal_load) {
        require(measures.plain >= plain_target, "plain >= 99.9 %");
        require(measures.pipelines >= pipeline_target, "pipelines >= 99 %");
        require(measures.wasted <= waste_target, "wasted <= 5 %");
    }
    if (plan.load >= overload) {
        require(measures.goodput >= goodput_target, "goodput >= 90 %");
        require(measures.urgent >= plain_target, "urgent >= 99.9 %");
        require(measures.early >= early_target, "refused early >= 99 %");
    }
    return missed;
}

policy_plan ours() {
    return {.name = "ours"};
}

std::vector<policy_plan> baselines() {
    policy_plan all{.name = "all baselines",
                    .choice = routing::round_robin{},
                    .mechanisms = {},
                    .bounded_retries = false,
                    .hedging = false,
                    .early_refusal = false};
    all.mechanisms.ramp = false;
    all.mechanisms.refuse_hopeless = false;
    all.mechanisms.reserve_urgent = false;
    all.mechanisms.queue = {false, false};
    return {all};
}

/// Each mechanism alone replaced by its baseline, in the row that it is for.
std::vector<named_row> ablations(const deployment_plan& deployment, const row_plan& base) {
    std::vector<named_row> rows;
    const auto add = [&](fault what, double load, policy_plan policy) {
        row_plan plan = base;
        plan.what = what;
        plan.load = load;
        plan.policy = std::move(policy);
        rows.push_back({deployment.name, &deployment, plan});
    };
    policy_plan round_robin{.name = "round robin", .choice = routing::round_robin{}};
    policy_plan least{.name = "least in flight", .choice = routing::least_in_flight{}};
    policy_plan random{.name = "at random", .choice = routing::uniform_random{}};
    add(fault::slow, highest_normal_load, round_robin);
    add(fault::slow, highest_normal_load, least);
    add(fault::slow, highest_normal_load, random);
    policy_plan no_ramp{.name = "no ramp"};
    no_ramp.mechanisms.ramp = false;
    add(fault::cold, highest_normal_load, no_ramp);
    policy_plan fifo{.name = "FIFO"};
    fifo.mechanisms.queue = {false, false};
    fifo.mechanisms.reserve_urgent = false;
    add(fault::none, overload, fifo);
    policy_plan no_refusal{.name = "no early refusal", .early_refusal = false};
    no_refusal.mechanisms.refuse_hopeless = false;
    add(fault::none, overload, no_refusal);
    add(fault::all_fail, 0.5, {.name = "unbounded retries", .bounded_retries = false});
    add(fault::slow, highest_normal_load, {.name = "no hedging", .hedging = false});
    return rows;
}

std::vector<named_row> all_rows(const std::vector<deployment_plan>& plans) {
    std::vector<named_row> rows;
    row_plan base;
    base.length = FLAGS_quick ? seconds{30} : seconds{60};
    for (const auto& deployment : plans) {
        const auto add = [&](fault what, double load) {
            for (const auto& policy : {ours(), baselines().front()}) {
                row_plan plan = base;
                plan.what = what;
                plan.load = load;
                plan.policy = policy;
                rows.push_back({deployment.name, &deployment, plan});
            }
        };
        for (const double load : {0.5, 0.8, 1.0, 2.0}) {
            for (const auto what : {fault::none, fault::slow, fault::failing, fault::cold}) {
                add(what, load);
            }
        }
        add(fault::all_fail, 0.5);
        for (auto& row : ablations(deployment, base)) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

std::string_view name_of(fault what) {
    switch (what) {
    case fault::none:
        return "none";
    case fault::slow:
        return "slow";
    case fault::failing:
        return "failing";
    case fault::cold:
        return "cold";
    case fault::all_fail:
        break;
    }
    return "all fail";
}

void print_row(const named_row& row, const row_measures& measures, const std::string& missed) {
    constexpr double percent = 100;
    std::printf("%-12s %5.0f %-9s %-17s %8.2f %8.2f %8.2f %8.1f %7.1f %7.1f %6.2f %6llu  %s\n",
                row.name.c_str(), row.plan.load * percent,
                std::string{name_of(row.plan.what)}.c_str(), row.plan.policy.name.c_str(),
                measures.plain * percent, measures.urgent * percent, measures.pipelines * percent,
                measures.goodput * percent, measures.wasted * percent, measures.early * percent,
                measures.sent_per_stage, static_cast<unsigned long long>(measures.falls),
                missed.c_str());
    std::fflush(stdout);
}

void print_errors(const row_result& result) {
    if (!FLAGS_errors) {
        return;
    }
    for (const auto& [service, tally] : result.services) {
        std::printf("    %s: late %llu\n", service.c_str(),
                    static_cast<unsigned long long>(tally.late));
        for (const auto& [kind, count] : tally.errors) {
            std::printf("    %s: %s %llu\n", service.c_str(), kind.c_str(),
                        static_cast<unsigned long long>(count));
        }
    }
}

boost::json::object row_json(const named_row& row, const row_measures& measures,
                             const std::string& missed) {
    return {{"deployment", row.name},          {"load", row.plan.load},
            {"fault", name_of(row.plan.what)}, {"policy", row.plan.policy.name},
            {"seed", row.plan.seed},           {"plain", measures.plain},
            {"urgent", measures.urgent},       {"pipelines", measures.pipelines},
            {"goodput", measures.goodput},     {"wasted", measures.wasted},
            {"refused_early", measures.early}, {"sent_per_stage", measures.sent_per_stage},
            {"falls", measures.falls},         {"missed", missed}};
}

int run() {
    if (!FLAGS_json) {
        std::printf("%-12s %5s %-9s %-17s %8s %8s %8s %8s %7s %7s %6s %6s\n", "deployment", "load",
                    "fault", "policy", "plain", "urgent", "pipes", "goodput", "wasted", "early",
                    "sent", "falls");
    }
    bool met = true;
    boost::json::array printed;
    const auto plans = deployments();
    for (const auto& row : all_rows(plans)) {
        const auto name =
            row.name + ' ' + std::string{name_of(row.plan.what)} + ' ' + row.plan.policy.name;
        const bool other_load = FLAGS_load > 0 && FLAGS_load != row.plan.load;
        if (other_load || name.find(FLAGS_only) == std::string::npos) {
            continue;
        }
        const auto result = run_row(*row.deployment, row.plan);
        const auto measures = measure(row, result);
        const bool bound = row.plan.policy.name == "ours";
        const auto missed = bound ? shortfall(row.plan, measures) : std::string{};
        met = met && missed.empty();
        if (FLAGS_json) {
            printed.push_back(row_json(row, measures, missed));
        } else {
            print_row(row, measures, missed);
            print_errors(result);
        }
    }
    if (FLAGS_json) {
        std::puts(boost::json::serialize(printed).c_str());
    }
    return met ? 0 : 1;
}

} // namespace
} // namespace boragefront::bench

int main(int argc, char** argv) {
    gflags::SetUsageMessage("measures the policy on a virtual clock, beside its baselines");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return boragefront::bench::run();
}
