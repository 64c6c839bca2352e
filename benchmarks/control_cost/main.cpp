/// \file
/// Measures what control costs a process: processor share, bytes a second and memory, by role, for
/// several numbers of real daemons, idle and with changes published.
#include "daemon_fleet.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <thread>
#include <unistd.h>

DEFINE_string(processes, "20,40,80", "numbers of daemons, measured one after the other");
DEFINE_uint32(seconds, 20, "length of each measurement");
DEFINE_uint32(settle, 10, "seconds from readiness to the first measurement");
DEFINE_uint32(workspaces, 7500, "published workspaces");
DEFINE_uint32(models, 22, "published engine pools");
DEFINE_uint32(pipelines, 20, "published pipelines");
DEFINE_uint32(changes, 5, "changes published during the second measurement");

namespace boragefront::control_cost {
namespace {

constexpr seconds start_patience{120};
constexpr seconds change_patience{30};

// What one role cost during a measurement.
struct role_cost {
    std::size_t processes{0};
    double cpu_sum{0};
    double cpu_most{0};
    double bytes_sum{0};
    double bytes_most{0};
    double platform_sum{0};
    double resident_most{0};
};

result<std::vector<usage>> sample(daemon_fleet& fleet) {
    std::vector<usage> all;
    for (const auto& one : fleet.daemons()) {
        BOOST_OUTCOME_TRY(all.emplace_back(), fleet.usage_of(one));
    }
    return all;
}

void add(role_cost& cost, const usage& before, const usage& after, double span) {
    const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
    constexpr double percent = 100.0;
    constexpr double megabyte = 1'000'000.0;
    const auto cpu =
        percent * static_cast<double>(after.ticks - before.ticks) / ticks_per_second / span;
    const auto platform = static_cast<double>(after.platform_bytes - before.platform_bytes) / span;
    const auto bytes = static_cast<double>(after.peer_bytes - before.peer_bytes) / span + platform;
    ++cost.processes;
    cost.cpu_sum += cpu;
    cost.cpu_most = std::max(cost.cpu_most, cpu);
    cost.bytes_sum += bytes;
    cost.bytes_most = std::max(cost.bytes_most, bytes);
    cost.platform_sum += platform;
    cost.resident_most =
        std::max(cost.resident_most, static_cast<double>(after.resident) / megabyte);
}

void print(std::size_t count, const char* phase, const char* role, const role_cost& cost) {
    const auto processes = static_cast<double>(std::max<std::size_t>(cost.processes, 1));
    std::printf("%9zu  %-7s %-8s %4zu  %7.2f %7.2f  %9.0f %9.0f %9.0f  %8.1f\n", count, phase, role,
                cost.processes, cost.cpu_sum / processes, cost.cpu_most, cost.bytes_sum / processes,
                cost.bytes_most, cost.platform_sum / processes, cost.resident_most);
    std::fflush(stdout);
}

// Publishes changes one after the other, each once the one before is in force everywhere.
result<milliseconds> publish_changes(daemon_fleet& fleet) {
    milliseconds slowest{0};
    for (unsigned i = 0; i < FLAGS_changes; ++i) {
        const std::string value = i % 2 == 0 ? R"({"state":"out"})" : R"({"state":"in"})";
        BOOST_OUTCOME_TRY(const auto published, fleet.publish("endpoints/none", value));
        const auto took = fleet.wait_for_revision(published, change_patience);
        if (!took) {
            return make_error(error_kind::deadline_exceeded, "a change is not in force everywhere");
        }
        slowest = std::max(slowest, *took);
    }
    return slowest;
}

template <class Work>
result<void> measure(daemon_fleet& fleet, const char* phase, Work work) {
    const auto begin = steady_clock::now();
    BOOST_OUTCOME_TRY(const auto before, sample(fleet));
    BOOST_OUTCOME_TRY(work());
    std::this_thread::sleep_until(begin + seconds{FLAGS_seconds});
    const auto span = std::chrono::duration<double>(steady_clock::now() - begin).count();
    BOOST_OUTCOME_TRY(const auto after, sample(fleet));
    role_cost entries;
    role_cost sidecars;
    for (std::size_t i = 0; i < after.size(); ++i) {
        add(fleet.daemons()[i].entry ? entries : sidecars, before[i], after[i], span);
    }
    print(after.size(), phase, "entry", entries);
    print(after.size(), phase, "sidecar", sidecars);
    return success();
}

result<void> measure_fleet(std::size_t count) {
    const auto folder = std::filesystem::temp_directory_path() /
                        ("control_cost." + std::to_string(getpid()) + '.' + std::to_string(count));
    const tree_size size{FLAGS_workspaces, FLAGS_models, FLAGS_pipelines};
    std::filesystem::create_directories(folder);
    BOOST_OUTCOME_TRY(auto fleet, daemon_fleet::start(count, size, folder));
    const auto started = fleet->wait_for_revision(fleet->published(), start_patience);
    if (!started) {
        return make_error(error_kind::deadline_exceeded, "the daemons are not ready");
    }
    std::this_thread::sleep_for(seconds{FLAGS_settle});
    BOOST_OUTCOME_TRY(measure(*fleet, "idle", []() -> result<void> { return success(); }));
    milliseconds slowest{0};
    BOOST_OUTCOME_TRY(measure(*fleet, "changes", [&]() -> result<void> {
        BOOST_OUTCOME_TRY(slowest, publish_changes(*fleet));
        return success();
    }));
    std::printf("%9zu  slowest of %u changes in force everywhere after %lld ms\n", count,
                FLAGS_changes, static_cast<long long>(slowest.count()));
    fleet.reset();
    std::filesystem::remove_all(folder);
    return success();
}

int run() {
    std::printf("processes  phase   role     num   cpu %%    (max)   bytes/s     (max)  platform  "
                "RSS MB max\n");
    std::istringstream counts{FLAGS_processes};
    for (std::string count; std::getline(counts, count, ',');) {
        const auto measured = measure_fleet(std::stoul(count));
        if (!measured) {
            std::cerr << "control_cost: " << to_string(measured.error()) << '\n';
            return 1;
        }
    }
    return 0;
}

} // namespace
} // namespace boragefront::control_cost

int main(int argc, char** argv) {
    gflags::SetUsageMessage("measures what control costs each process");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return boragefront::control_cost::run();
}
