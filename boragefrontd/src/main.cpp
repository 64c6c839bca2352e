/// \file
/// The daemon: reads its settings, runs its role, and shuts down gracefully on SIGTERM or SIGINT.
#include "base/logging.hpp"
#include "base/metrics.hpp"
#include "role.hpp"
#include "settings/settings.hpp"
#include "shutdown_limit.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>

DEFINE_string(settings, "", "the settings file, JSON with comments");
DEFINE_bool(check, false, "validate the settings file and exit");
DECLARE_bool(help);

namespace {

using namespace boragefront;

constexpr int exit_start_failed = 1;
constexpr int exit_bad_settings = 2;
constexpr int exit_shutdown_overdue = 3;
constexpr time_t settings_poll_interval_s = 2; // the longest delay until a changed file is noticed
constexpr milliseconds log_flush_timeout{500}; // short compared with the time-out of a shutdown
constexpr milliseconds overdue_flush_timeout{50};

constexpr std::string_view usage = R"(Usage: boragefrontd --settings FILE [--check]

Runs one process of boragefront: an entry, a sidecar or a gateway, as its settings specify.

  --settings FILE   the settings file, JSON with comments (docs/CONFIGURATION.md)
  --check           validate the file and exit

Once it is listening, it prints one line of JSON to standard output:
  {"data_address": "ip:port", "control_address": "ip:port"}
SIGTERM or SIGINT starts a graceful shutdown; SIGHUP reloads the settings.
Logs follow that line on standard output.

Exit status: 0 after a graceful shutdown or a successful check, 1 if it cannot
start, 2 if the command line or the settings are invalid, 3 if a shutdown took
too long and was cut short.
)";

// Called before any thread starts, so that only the main thread receives these signals.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

int fail(int status, const std::string& reason) {
    std::cerr << "boragefrontd: " << reason << '\n';
    return status;
}

// Returns an empty string if the file cannot be read.
std::string read_settings_text() {
    std::ifstream stream{FLAGS_settings, std::ios::binary};
    return {std::istreambuf_iterator<char>{stream}, {}};
}

void reload_settings(daemon::running_role& role, std::string_view cause) {
    const auto changed = settings::load(FLAGS_settings);
    if (!changed) {
        log_warning("daemon", "settings_refused",
                    {{"cause", std::string{cause}}, {"reason", changed.error().detail}});
        return;
    }
    daemon::reload(role, changed.value());
    log_change("daemon", "settings_reloaded", {{"cause", std::string{cause}}});
}

// Waits for the signal that requests a shutdown and returns it. Until then reloads the settings
// file on SIGHUP and when its text has changed; a last time on that signal, for the grace period.
int await_shutdown(const sigset_t& signals, daemon::running_role& role) {
    auto current_text = read_settings_text();
    for (;;) {
        const timespec poll_interval{settings_poll_interval_s, 0};
        const int received = sigtimedwait(&signals, nullptr, &poll_interval);
        auto new_text = read_settings_text();
        if (received == SIGHUP || new_text != current_text) {
            reload_settings(role, received == SIGHUP ? "SIGHUP" : "file_changed");
            current_text = std::move(new_text);
        }
        if (received == SIGTERM || received == SIGINT) {
            return received;
        }
    }
}

int run(const settings::daemon_settings& settings) {
    const sigset_t signals = block_signals();
    (void)std::signal(SIGPIPE, SIG_IGN);
    init_logging(settings.logs, settings.id);
    metrics_registry metrics;
    auto role = daemon::start_role(settings, metrics);
    if (!role) {
        start_log_writer();
        flush_logs(log_flush_timeout);
        return fail(exit_start_failed, to_string(role.error()));
    }
    std::cout << daemon::addresses_line(role.value()) << std::endl;
    start_log_writer();
    log_change("daemon", "started");
    const int received = await_shutdown(signals, role.value());
    log_change("daemon", "shutting_down", {{"signal", std::to_string(received)}});
    {
        const daemon::shutdown_limit limit{daemon::shutdown_time(role.value(), settings), [] {
                                               log_warning("daemon", "shutdown_overdue");
                                               flush_logs(overdue_flush_timeout);
                                               std::quick_exit(exit_shutdown_overdue);
                                           }};
        daemon::shut_down(role.value());
    }
    log_change("daemon", "stopped");
    flush_logs(log_flush_timeout);
    // Skips the destructors of static objects, which would wait for a blocked standard output.
    std::quick_exit(EXIT_SUCCESS);
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
