/// \file
/// A program that a test started, ended at the latest with its owner.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <boost/json/object.hpp>

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace boragefront::support {

/// One process. Killed and reaped on destruction; also killed by the kernel if the test dies.
class process {
public:
    /// Starts a program and waits for the one line of JSON that it prints once bound.
    /// \param command program and arguments
    /// \param log file that receives its standard error
    static result<process> start(const std::vector<std::string>& command,
                                 const std::filesystem::path& log, milliseconds patience);

    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    ~process();

    /// The line that it printed.
    const boost::json::object& first_line() const { return first_line_; }

    /// Sends a signal, if it has not been reaped.
    void send_signal(int number) const;

    /// SIGKILL, then waits for the end.
    void kill();

    /// Waits for the end. \returns the exit status, 128 plus the signal's number if one ended it,
    /// or nothing if it still runs.
    std::optional<int> wait_exit(milliseconds patience);

    pid_t id() const { return pid_; }

private:
    process(pid_t pid, int output) : pid_{pid}, output_{output} {}
    result<void> read_first_line(milliseconds patience);
    void close_output();

    pid_t pid_{-1}; ///< -1 once it has been reaped
    int output_{-1};
    std::optional<int> status_;
    boost::json::object first_line_;
};

} // namespace boragefront::support
