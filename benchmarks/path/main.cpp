/// \file
/// The path itself, on the wall clock: latency that entry and sidecar add, what one entry carries,
/// tokens streamed through it and memory for each open stream. Exits with 1 if a bound falls short.
#include "config/types.hpp"
#include "load.hpp"
#include "support/cluster.hpp"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

DEFINE_uint32(rate, 1000, "calls a second in the row of added latency");
DEFINE_uint32(seconds, 10, "length of each row");
DEFINE_uint32(callers, 128, "calls in progress in the row of throughput");
DEFINE_uint32(streams, 400, "streams in progress in the rows of streams");
DEFINE_bool(json, false, "print JSON instead of a table");

namespace boragefront::path_bench {
namespace {

constexpr double added_median_target_ms = 1.0;
constexpr double added_p99_target_ms = 5.0;
constexpr double throughput_target = 3'100.0;
constexpr unsigned generator_threads = 2;
constexpr milliseconds start_patience{20'000};
constexpr seconds settle{3};

support::cluster_spec make_spec() {
    support::cluster_spec spec;
    spec.configuration = {
        {"profiles/wide",
         R"({"limits": {"concurrency": 64, "queue": 4096}, "ramp": {"cold_limit": 64}})"},
        {"pools/lookups", R"({"kind": "plain", "profile": "wide"})"},
        {"pools/models", R"({"kind": "engine", "profile": "wide"})"},
        {"services/lookup",
         R"({"kind": "plain", "pool": "lookups", "profile": "wide", "repeatable": true})"},
        {"services/chat", R"({"kind": "pipeline", "profile": "wide", "repeatable": true,
            "stages": [{"name": "encode", "pool": "lookups"}, {"name": "rerank", "pool": "lookups"},
                       {"name": "generate", "pool": "models"}]})"},
        {"workspaces/" + config::workspace_shard("bench"), R"({"workspaces": {"bench": {}}})"}};
    const std::vector<std::string> common{"--limit=100000", "--cold_limit=100000", "--warm_after=0",
                                          "--seed=1"};
    for (const std::string pool : {"lookups", "models"}) {
        for (int i = 0; i < 4; ++i) {
            support::endpoint_spec endpoint{pool + '-' + std::to_string(i), pool, "a", common};
            endpoint.flags.emplace_back(pool == "models" ? "--kind=engine" : "--kind=plain");
            endpoint.flags.emplace_back("--service_ms=1");
            endpoint.flags.emplace_back("--tokens=100");
            endpoint.flags.emplace_back("--token_ms=20");
            spec.endpoints.push_back(std::move(endpoint));
        }
    }
    spec.entries = {{"entry-0", "a"}};
    return spec;
}

http::request service_call(const std::string& service) {
    http::request message{"POST", "/v1/workspaces/bench/services/" + service};
    message.headers.set("Content-Type", "application/json");
    message.body = R"({"n": 1})";
    return message;
}

target direct_target(support::cluster& deployment) {
    target direct;
    direct.message = {"POST", "/run"};
    direct.message.headers.set("Content-Type", "application/json");
    direct.message.body = R"({"identity": "bench/0/0", "stage": "lookups", "input": {"n": 1}})";
    for (const auto& slot : deployment.slots()) {
        if (slot.spec.pool == "lookups") {
            direct.addresses.push_back(slot.endpoint->address());
        }
    }
    return direct;
}

// A member of /proc/<pid>/status, in kilobytes.
double kilobytes_of(pid_t pid, const std::string& member) {
    std::ifstream status{"/proc/" + std::to_string(pid) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind(member + ':', 0) == 0) {
            return std::stod(line.substr(member.size() + 1));
        }
    }
    return 0;
}

class report {
public:
    void add(const std::string& name, double value, const std::string& unit) {
        values_[name] = value;
        if (!FLAGS_json) {
            std::printf("%-44s %12.2f %s\n", name.c_str(), value, unit.c_str());
        }
    }

    void add(const std::string& name, double value, const std::string& unit, bool holds,
             const std::string& bound) {
        add(name, value, unit + "  (" + bound + (holds ? ", met)" : ", MISSED)"));
        met_ = met_ && holds;
    }

    int end() const {
        if (FLAGS_json) {
            std::puts(boost::json::serialize(values_).c_str());
        }
        return met_ ? 0 : 1;
    }

private:
    boost::json::object values_;
    bool met_{true};
};

void measure_added_latency(support::cluster& deployment, const target& entry, report& out) {
    const auto length = seconds{FLAGS_seconds};
    (void)at_fixed_rate({direct_target(deployment), entry}, FLAGS_rate, settle);
    const auto rows = at_fixed_rate({direct_target(deployment), entry}, FLAGS_rate, length);
    const auto& direct = rows.at(0);
    const auto& through = rows.at(1);
    out.add("calls that failed", static_cast<double>(direct.failed + through.failed), "");
    const auto median = through.quantile(0.5) - direct.quantile(0.5);
    const auto p99 = through.quantile(0.99) - direct.quantile(0.99);
    out.add("direct, median", direct.quantile(0.5), "ms");
    out.add("direct, 99th percentile", direct.quantile(0.99), "ms");
    out.add("added by entry and sidecar, median", median, "ms", median <= added_median_target_ms,
            "at most 1");
    out.add("added by entry and sidecar, 99th percentile", p99, "ms", p99 <= added_p99_target_ms,
            "at most 5");
}

void measure_throughput(const target& entry, report& out) {
    const auto length = seconds{FLAGS_seconds};
    const auto results = in_closed_loop(entry, FLAGS_callers, generator_threads, length);
    const auto rate =
        static_cast<double>(results.milliseconds.size()) / static_cast<double>(length.count());
    out.add("one entry, two traffic threads", rate, "requests/s", rate >= throughput_target,
            "at least 3,100");
    out.add("... calls that failed", static_cast<double>(results.failed), "");
}

void measure_streams(pid_t entry_process, target entry, report& out) {
    entry.message = service_call("chat");
    entry.message.headers.set("Accept", "text/event-stream");
    const auto length = seconds{FLAGS_seconds};
    const auto before = kilobytes_of(entry_process, "VmRSS");
    const auto results = streams_in_closed_loop(entry, FLAGS_streams, generator_threads, length);
    const auto peak = kilobytes_of(entry_process, "VmHWM");
    const auto rate = static_cast<double>(results.tokens) / static_cast<double>(length.count());
    out.add("tokens through one entry", rate, "tokens/s");
    out.add("... streams that failed", static_cast<double>(results.failed), "");
    out.add("memory for each open stream", (peak - before) / FLAGS_streams, "KB");
}

int run() {
    auto started = support::cluster::start(make_spec());
    if (!started) {
        std::fprintf(stderr, "path_bench: %s\n", to_string(started.error()).c_str());
        return 1;
    }
    auto& deployment = *started.value();
    if (const auto ready = deployment.wait_ready(start_patience); !ready) {
        std::fprintf(stderr, "path_bench: %s\n", to_string(ready.error()).c_str());
        return 1;
    }
    const target entry{deployment.entry_addresses(), service_call("lookup")};
    report out;
    (void)in_closed_loop(entry, generator_threads, 1, settle);
    measure_added_latency(deployment, entry, out);
    measure_throughput(entry, out);
    measure_streams(deployment.entry("entry-0").process_id(), entry, out);
    return out.end();
}

} // namespace
} // namespace boragefront::path_bench

int main(int argc, char** argv) {
    gflags::SetUsageMessage("measures the path through entry and sidecar on the wall clock");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return boragefront::path_bench::run();
}
