/// \file
/// What every command of the operators' tool is given and gives back.
#pragma once

#include "base/error.hpp"
#include "base/ids.hpp"
#include "base/time.hpp"

#include <ostream>
#include <string>
#include <vector>

namespace boragefront::ctl {

/// Exit statuses of the tool.
enum class exit_status : int {
    good = 0,    ///< done, and nothing is amiss
    amiss = 1,   ///< faults, differences, a peer that does not answer, or a time-out
    refused = 2, ///< the command line is wrong, or the input cannot be read
};

/// A parsed command line.
struct command_line {
    std::vector<std::string> arguments; ///< after the command's own words
    std::vector<std::string> peers;     ///< control addresses
    bool json{false};
    revision wanted{0};           ///< of `config rollout`
    milliseconds call_timeout{0}; ///< for one call of one peer
    seconds rollout_timeout{0};   ///< for the whole of `config rollout`
};

/// Where a command writes.
struct command_output {
    std::ostream& out;    ///< what was asked for
    std::ostream& errors; ///< everything else
};

/// Writes "boragefrontctl: " and the reason on the error stream.
exit_status refuse(const command_output& output, const std::string& reason);

// Commands on a configuration tree on disk.
exit_status validate(const command_line& line, const command_output& output);
exit_status config_diff(const command_line& line, const command_output& output);
exit_status config_shard(const command_line& line, const command_output& output);

// Commands that ask running processes.
exit_status status(const command_line& line, const command_output& output);
exit_status dump(const command_line& line, const command_output& output);
exit_status metrics(const command_line& line, const command_output& output);
exit_status explain(const command_line& line, const command_output& output);
exit_status config_rollout(const command_line& line, const command_output& output);

} // namespace boragefront::ctl
