/// \file
/// The daemon: reads its settings, runs its role, and shuts down gracefully on SIGTERM or SIGINT.
#include "base/logging.hpp"
#include "base/metrics.hpp"
#include "role.hpp"
#include "settings/settings.hpp"

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
constexpr time_t settings_look_s = 2;      // a changed file is noticed within this
constexpr milliseconds flush_at_most{500}; // small against the time a stop may take

constexpr std::string_view usage = R"(Usage: boragefrontd --settings FILE [--check]

Runs one process of boragefront: an entry, a sidecar or a gateway, as its settings say.

  --settings FILE   the settings file, JSON with comments (docs/CONFIGURATION.md)
  --check           validate the file and exit

Once it listens it prints one line of JSON on standard output:
  {"data_address": "ip:port", "control_address": "ip:port"}
SIGTERM or SIGINT begins a graceful shutdown; SIGHUP reads the settings again.
Logs follow that line on standard output.

Exit status: 0 after a graceful shutdown or a successful check, 1 if it cannot
start, 2 if the command line or the settings are refused.
)";

// Blocked before any thread exists, so that only the main thread takes them.
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

// The text of the settings file; empty if it cannot be read.
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

// Returns the signal that asks for the shutdown. Meanwhile the settings file is read again on
// SIGHUP and when its text has changed.
int await_shutdown(const sigset_t& signals, daemon::running_role& role) {
    auto text = read_settings_text();
    for (;;) {
        const timespec look{settings_look_s, 0};
        const int received = sigtimedwait(&signals, nullptr, &look);
        if (received == SIGTERM || received == SIGINT) {
            return received;
        }
        auto now = read_settings_text();
        if (received == SIGHUP || now != text) {
            reload_settings(role, received == SIGHUP ? "SIGHUP" : "file_changed");
            text = std::move(now);
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
        flush_logs(flush_at_most);
        return fail(exit_start_failed, to_string(role.error()));
    }
    std::cout << daemon::addresses_line(role.value()) << std::endl;
    start_log_writer();
    log_change("daemon", "started");
    const int received = await_shutdown(signals, role.value());
    log_change("daemon", "shutting_down", {{"signal", std::to_string(received)}});
    daemon::shut_down(role.value());
    log_change("daemon", "stopped");
    flush_logs(flush_at_most);
    // Without the destructors of static objects, which would wait for a blocked standard output.
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
