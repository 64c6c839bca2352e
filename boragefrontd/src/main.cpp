/// \file
/// The daemon: reads its settings, runs its role, and shuts down gracefully on SIGTERM or SIGINT.
#include "base/logging.hpp"
#include "base/metrics.hpp"
#include "role.hpp"
#include "settings/settings.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

DEFINE_string(settings, "", "the settings file, JSON with comments");
DEFINE_bool(check, false, "validate the settings file and exit");
DECLARE_bool(help);

namespace {

using namespace boragefront;

constexpr int exit_start_failed = 1;
constexpr int exit_bad_settings = 2;

constexpr std::string_view usage = R"(Usage: boragefrontd --settings FILE [--check]

Runs one process of boragefront, an entry or a sidecar as its settings say.

  --settings FILE   the settings file, JSON with comments (docs/CONFIGURATION.md)
  --check           validate the file and exit

Once it listens it prints one line of JSON on standard output:
  {"data_address": "ip:port", "control_address": "ip:port"}
SIGTERM or SIGINT begins a graceful shutdown. Logs go to standard error.

Exit status: 0 after a graceful shutdown or a successful check, 1 if it cannot
start, 2 if the command line or the settings are refused.
)";

// Blocked before any thread exists, so that only `sigwait` takes them.
sigset_t block_shutdown_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int fail(int status, const std::string& reason) {
    std::cerr << "boragefrontd: " << reason << '\n';
    return status;
}

int run(const settings::daemon_settings& settings) {
    const sigset_t signals = block_shutdown_signals();
    (void)std::signal(SIGPIPE, SIG_IGN);
    init_logging(settings.logs, settings.id);
    metrics_registry metrics;
    auto role = daemon::start_role(settings, metrics);
    if (!role) {
        return fail(exit_start_failed, to_string(role.error()));
    }
    std::cout << daemon::addresses_line(role.value()) << std::endl;
    log_change("daemon", "started");
    int received = 0;
    sigwait(&signals, &received);
    log_change("daemon", "shutting_down", {{"signal", std::to_string(received)}});
    daemon::shut_down(role.value());
    log_change("daemon", "stopped");
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << usage;
        return EXIT_SUCCESS;
    }
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << usage;
        return exit_bad_settings;
    }
    const auto settings = settings::load(FLAGS_settings);
    if (!settings) {
        return fail(exit_bad_settings, settings.error().detail);
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return EXIT_SUCCESS;
    }
    return run(settings.value());
}
