/// \file
/// A program that a test started, ended at the latest with its owner.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace boragefront::support {

/// One process. Killed and reaped on destruction; also killed by the kernel if the test dies.
class process {
public:
    /// What becomes of its standard output after the first line.
    enum class further_output : std::uint8_t {
        unread, ///< fills the pipe
        logged, ///< goes to the log file
    };

    /// Starts a program and waits for the one line of JSON that it prints once bound.
    /// \param command program and arguments
    /// \param log file that receives its standard error
    static result<process> start(const std::vector<std::string>& command,
                                 const std::filesystem::path& log, milliseconds patience,
                                 further_output output = further_output::unread);

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
    void log_output(const std::filesystem::path& log);

    pid_t pid_{-1}; ///< -1 once it has been reaped
    int output_{-1};
    std::optional<int> status_;
    boost::json::object first_line_;
    std::thread copier_; ///< of its output to its log, until the output ends
};

} // namespace boragefront::support
