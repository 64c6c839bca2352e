#include "support/process.hpp"

#include <boost/json/parse.hpp>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace boragefront::support {
namespace {

constexpr milliseconds exit_check_interval{2};
constexpr int signal_status_base = 128;
constexpr int exec_failed_status = 127;
constexpr int log_permissions = 0644;

error system_failure(const std::string& what) {
    return make_error(error_kind::unavailable, what + ": " + std::strerror(errno));
}

// In the child, between fork and exec: only async-signal-safe calls.
[[noreturn]] void become(char* const* arguments, int output, int log, pid_t parent) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        ::_exit(exec_failed_status);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    // Sockets of the test would stay open in the child after the test has closed them.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(arguments[0], arguments);
    ::_exit(exec_failed_status);
}

} // namespace

result<process> process::start(const std::vector<std::string>& command,
                               const std::filesystem::path& log, milliseconds patience,
                               further_output output_use) {
    std::vector<std::string> words{command};
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::array<int, 2> output{};
    if (::pipe2(output.data(), O_CLOEXEC) != 0) {
        return system_failure("pipe");
    }
    const int log_file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_permissions);
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        become(arguments.data(), output[1], log_file, parent);
    }
    ::close(output[1]);
    ::close(log_file);
    if (child < 0) {
        ::close(output[0]);
        return system_failure("fork");
    }
    process started{child, output[0]};
    BOOST_OUTCOME_TRY(started.read_first_line(patience));
    if (output_use == further_output::logged) {
        started.log_output(log);
    }
    return started;
}

process::process(process&& other) noexcept
    : pid_{std::exchange(other.pid_, -1)}, output_{std::exchange(other.output_, -1)},
      status_{other.status_}, first_line_{std::move(other.first_line_)}, copier_{std::move(
                                                                             other.copier_)} {}

process& process::operator=(process&& other) noexcept {
    if (this != &other) {
        kill();
        close_output();
        pid_ = std::exchange(other.pid_, -1);
        output_ = std::exchange(other.output_, -1);
        status_ = other.status_;
        first_line_ = std::move(other.first_line_);
        copier_ = std::move(other.copier_);
    }
    return *this;
}

process::~process() {
    kill();
    close_output();
}

// The output ends with the process, which has ended by now.
void process::close_output() {
    if (copier_.joinable()) {
        copier_.join();
    }
    if (output_ >= 0) {
        ::close(std::exchange(output_, -1));
    }
}

void process::log_output(const std::filesystem::path& log) {
    const int log_file =
        ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_permissions);
    copier_ = std::thread{[from = output_, log_file] {
        std::array<char, 4'096> bytes{};
        ssize_t size = 0;
        while ((size = ::read(from, bytes.data(), bytes.size())) > 0) {
            (void)!::write(log_file, bytes.data(), static_cast<std::size_t>(size));
        }
        ::close(log_file);
    }};
}

void process::send_signal(int number) const {
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

void process::kill() {
    if (pid_ <= 0) {
        return;
    }
    send_signal(SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    status_ = signal_status_base + SIGKILL;
    pid_ = -1;
}

std::optional<int> process::wait_exit(milliseconds patience) {
    const auto until = steady_clock::now() + patience;
    while (pid_ > 0) {
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ =
                WIFSIGNALED(status) ? signal_status_base + WTERMSIG(status) : WEXITSTATUS(status);
            pid_ = -1;
        } else if (steady_clock::now() >= until) {
            return std::nullopt;
        } else {
            std::this_thread::sleep_for(exit_check_interval);
        }
    }
    return status_;
}

result<void> process::read_first_line(milliseconds patience) {
    std::string line;
    const auto until = steady_clock::now() + patience;
    while (line.find('\n') == std::string::npos) {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady_clock::now()).count();
        pollfd waited{output_, POLLIN, 0};
        if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0) {
            return make_error(error_kind::deadline_exceeded, "a program did not say it is bound");
        }
        std::array<char, 512> bytes{};
        const auto size = ::read(output_, bytes.data(), bytes.size());
        if (size <= 0) {
            return make_error(error_kind::unavailable, "a program ended before it was bound");
        }
        line.append(bytes.data(), static_cast<std::size_t>(size));
    }
    boost::json::error_code failure;
    auto parsed = boost::json::parse(line.substr(0, line.find('\n')), failure);
    if (failure || !parsed.is_object()) {
        return make_error(error_kind::bad_request, "a program printed: " + line);
    }
    first_line_ = std::move(parsed.get_object());
    return success();
}

} // namespace boragefront::support
