/// \file
/// The operators' tool.
#include "command.hpp"
#include "peers/peers.hpp"

#include <gflags/gflags.h>

#include <array>
#include <csignal>
#include <iostream>

DEFINE_string(peers, "", "control addresses, comma-separated");
DEFINE_bool(json, false, "write JSON instead of text");
DEFINE_uint64(revision, 0, "the revision to wait for");
DEFINE_uint32(timeout_ms, 2'000, "for one call of one process");
DEFINE_uint32(wait_s, 30, "for the whole of config rollout");
DECLARE_bool(help);

namespace {

using namespace boragefront;
using namespace boragefront::ctl;

constexpr std::string_view usage = R"(Usage: boragefrontctl COMMAND [ARGUMENT...] [FLAG...]

Running processes; addresses are control addresses, ip:port:
  status --peers A,B,...     a line for each process: role, data centre, phase,
                             revision in force, age of its knowledge, in flight
  dump A                     the whole state of one process, as JSON
  metrics A                  the metrics of one process, as text
  explain A POOL             which endpoints of a pool the entry at A would choose,
                             and why not the others
  config rollout --revision N --peers A,B,...
                             waits until each process has revision N in force

Configuration trees on disk, folders of <key>.json:
  validate DIR               names key and path of each fault
  config diff DIR DIR        the fields that differ, comments aside
  config shard WORKSPACE     the key that holds a workspace

Flags:
  --json            write JSON (status, validate, config diff, config rollout)
  --timeout_ms N    for one call of one process (default 2000)
  --wait_s N        for the whole of config rollout (default 30)

Exit status: 0 if all is well, 1 if something is amiss (a fault, a difference,
a process that does not answer, a time-out), 2 if the command line is wrong or
the input cannot be read. Errors go to standard error.
)";

using handler = exit_status (*)(const command_line&, const command_output&);

struct command {
    std::string_view group; ///< the first word of a command of two, or empty
    std::string_view name;
    handler run;
};

constexpr std::array commands{
    command{"", "status", status},
    command{"", "dump", dump},
    command{"", "metrics", metrics},
    command{"", "explain", explain},
    command{"", "validate", validate},
    command{"config", "diff", config_diff},
    command{"config", "shard", config_shard},
    command{"config", "rollout", config_rollout},
};

// Takes the words of a command from the front of `words`.
const command* take_command(std::vector<std::string>& words) {
    for (const auto& candidate : commands) {
        const std::size_t length = candidate.group.empty() ? 1 : 2;
        if (words.size() < length || words[length - 1] != candidate.name) {
            continue;
        }
        if (length == 2 && words.front() != candidate.group) {
            continue;
        }
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(length));
        return &candidate;
    }
    return nullptr;
}

command_line read_flags(std::vector<std::string> arguments) {
    command_line line;
    line.arguments = std::move(arguments);
    line.peers = peers::split_list(FLAGS_peers);
    line.json = FLAGS_json;
    line.wanted = FLAGS_revision;
    line.call_timeout = milliseconds{FLAGS_timeout_ms};
    line.rollout_timeout = seconds{FLAGS_wait_s};
    return line;
}

} // namespace

namespace boragefront::ctl {

exit_status refuse(const command_output& output, const std::string& reason) {
    output.errors << "boragefrontctl: " << reason << '\n';
    return exit_status::refused;
}

} // namespace boragefront::ctl

int main(int argc, char** argv) {
    (void)std::signal(SIGPIPE, SIG_IGN);
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << usage;
        return static_cast<int>(exit_status::good);
    }
    std::vector<std::string> words{argv + 1, argv + argc};
    const auto* const chosen = take_command(words);
    if (chosen == nullptr) {
        std::cerr << usage;
        return static_cast<int>(exit_status::refused);
    }
    const auto ended = chosen->run(read_flags(std::move(words)), {std::cout, std::cerr});
    return static_cast<int>(ended);
}
