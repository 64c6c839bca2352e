/// \file
/// Replays a recorded trace against entries and prints what was measured.
#include "peers/peers.hpp"
#include "player.hpp"
#include "report.hpp"
#include "stage_cost.hpp"
#include "trace.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

DEFINE_string(trace, "", "the trace, a file of JSON lines");
DEFINE_string(entries, "", "data addresses of the entries, comma-separated");
DEFINE_string(peers, "", "control addresses of the entries, comma-separated");
DEFINE_double(speed, 1.0, "arrivals come this many times as fast");
DEFINE_bool(json, false, "print JSON instead of tables");
DEFINE_bool(timeline, false, "print a row for each second");
DECLARE_bool(help);

namespace {

using namespace boragefront;
using namespace boragefront::replay;

constexpr int exit_unexpected = 1;
constexpr int exit_refused = 2;
constexpr double lowest_speed = 0.01;
constexpr double highest_speed = 1'000.0;

constexpr std::string_view usage =
    R"(Usage: boragefront-replay --trace FILE --entries A,B,... [FLAG...]

Sends the requests of a trace to entries by their arrival times and judges each
answer: whole, the caller's own, and within its deadline. Requests that are not
idempotent carry an Idempotency-Key.

  --trace FILE      the trace, JSON lines (traces/)
  --entries A,...   data addresses of the entries, ip:port; requests are dealt to
                    those whose readiness probe succeeds
  --peers A,...     control addresses of the same entries; their metrics give
                    the endpoint time by stage
  --speed X         arrivals come X times as fast, 0.01 to 1000 (default 1);
                    deadlines stay as they are
  --timeline        a row for each second: requests sent, attained in the end
  --json            print JSON instead of tables

Exit status: 0 if every request ended as the trace expects, 1 if some did not,
2 if the command line or the trace is refused. A progress line goes to standard
error if that is a terminal.
)";

int refuse(const std::string& reason) {
    std::cerr << "boragefront-replay: " << reason << '\n';
    return exit_refused;
}

void show(const progress& now) {
    std::cerr << "\rsent " << now.sent << " of " << now.total << ", answered " << now.ended
              << ", attained " << now.attained << "   " << (now.ended == now.total ? "\n" : "")
              << std::flush;
}

play_options options_from_flags() {
    play_options options;
    options.entries = peers::split_list(FLAGS_entries);
    options.speed = FLAGS_speed;
    if (::isatty(STDERR_FILENO) != 0) {
        options.on_progress = show;
    }
    return options;
}

result<report> measure(const std::vector<trace_entry>& trace, const play_options& options) {
    const auto control_addresses = peers::split_list(FLAGS_peers);
    BOOST_OUTCOME_TRY(const auto before, read_metrics(control_addresses));
    auto measured = make_report(trace, play(trace, options), options.speed);
    BOOST_OUTCOME_TRY(const auto after, read_metrics(control_addresses));
    measured.stages = cost_between(before, after);
    return measured;
}

int run() {
    const auto options = options_from_flags();
    if (options.entries.empty() || options.speed < lowest_speed || options.speed > highest_speed) {
        return refuse("--entries must name an entry, and --speed be from 0.01 to 1000");
    }
    const auto trace = load_trace(FLAGS_trace);
    if (!trace) {
        return refuse(to_string(trace.error()));
    }
    const auto measured = measure(trace.value(), options);
    if (!measured) {
        return refuse(to_string(measured.error()));
    }
    if (FLAGS_json) {
        std::cout << to_json(measured.value()) << '\n';
    } else {
        write_table(std::cout, measured.value(), FLAGS_timeline);
    }
    const bool expected = measured.value().as_expected == measured.value().total;
    return expected ? EXIT_SUCCESS : exit_unexpected;
}

} // namespace

int main(int argc, char** argv) {
    (void)std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << usage;
        return EXIT_SUCCESS;
    }
    if (FLAGS_trace.empty() || FLAGS_entries.empty() || argc > 1) {
        std::cerr << usage;
        return exit_refused;
    }
    return run();
}
