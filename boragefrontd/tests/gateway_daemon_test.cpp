/// \file
/// Runs the daemon as a gateway process, with nothing listening at the platform's address.
#include "support/blocking_client.hpp"
#include "support/process.hpp"
#include "support/run_program.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace boragefront;
using namespace boragefront::support;

namespace {

constexpr seconds test_timeout{30}; // long enough that a slow machine does not cause a failure
constexpr int exit_shutdown_overdue = 3;

std::string settings_text(const std::string& more = "", int grace_s = 3) {
    return R"({"role": "gateway", "id": "g-1", "data_centre": "a",
        "data_address": "127.0.0.1:0", "control_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:1",
        "gateway": {"ready_address": "127.0.0.1:0", "work_address": "127.0.0.1:0",
                    "log_lines_per_second": 100000, "grace_s": )" +
           std::to_string(grace_s) + more + "}}";
}

// A running gateway with its settings file.
struct running_daemon {
    explicit running_daemon(const std::string& settings = settings_text()) {
        write(settings);
        auto started = process::start({BORAGEFRONTD, "--settings", file.string()},
                                      file.string() + ".log", test_timeout);
        REQUIRE(started);
        program.emplace(std::move(started.value()));
        address = std::string{program->first_line().at("data_address").as_string()};
    }
    ~running_daemon() {
        std::filesystem::remove(file);
        std::filesystem::remove(file.string() + ".log");
    }
    running_daemon(const running_daemon&) = delete;
    running_daemon& operator=(const running_daemon&) = delete;

    void write(const std::string& text) const { std::ofstream{file} << text; }

    result<http::response> send_request(blocking_client& client) const {
        http::request message;
        message.headers.add("Host", "any.example");
        return client.call(address, message, test_timeout);
    }

    std::filesystem::path file{std::filesystem::temp_directory_path() /
                               ("gateway_daemon_test_" + std::to_string(::getpid()))};
    std::optional<process> program;
    std::string address;
};

} // namespace

TEST_CASE("a gateway without store and peers answers 503 with Retry-After and stops on SIGTERM") {
    running_daemon daemon;
    blocking_client client;
    const auto answer = daemon.send_request(client);
    REQUIRE(answer);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().headers.has("Retry-After"));
    daemon.program->send_signal(SIGTERM);
    CHECK(daemon.program->wait_exit(test_timeout) == 0);
}

// Guards against requests or a shutdown that wait for standard output: the test reads only the
// first line of it, so that the pipe fills and blocks the log writer.
TEST_CASE("a blocked standard output delays neither requests nor the shutdown", "[invariant]") {
    running_daemon daemon;
    blocking_client client;
    constexpr int requests = 3'000; // several times the capacity of the pipe and the queue
    int answered = 0;
    for (int i = 0; i < requests; ++i) {
        answered += daemon.send_request(client) ? 1 : 0;
    }
    CHECK(answered == requests);
    daemon.program->send_signal(SIGTERM);
    CHECK(daemon.program->wait_exit(test_timeout) == 0);
}

TEST_CASE("invalid settings of a gateway are rejected with field, found and expected value") {
    const running_daemon daemon;
    daemon.write(settings_text(R"(, "cold_tolerance": 0.5, "unknown": 1)"));
    const auto outcome = run_program(BORAGEFRONTD, {"--settings", daemon.file.string(), "--check"});
    CHECK(outcome.status == 2);
    CHECK_THAT(outcome.errors,
               Catch::Contains("gateway.cold_tolerance: found a number 5E-1; must be a "
                               "number from 1 to 100"));
    CHECK_THAT(outcome.errors, Catch::Contains("gateway.unknown"));
}

// Guards against requests that the platform cuts at the end of the grace period, because the
// shutdown still takes the one of the start.
TEST_CASE("a shutdown takes the grace period of changed settings", "[invariant]") {
    constexpr int former_grace_s = 25;
    const bool signalled = GENERATE(true, false);
    INFO((signalled ? "SIGHUP" : "no signal"));
    running_daemon daemon{settings_text("", former_grace_s)};
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket caller{io};
    const auto colon = daemon.address.rfind(':');
    caller.connect({boost::asio::ip::make_address(daemon.address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(daemon.address.substr(colon + 1)))});
    // A request that is not complete keeps the gateway from ending early.
    boost::asio::write(caller, boost::asio::buffer(std::string{
                                   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbody"}));
    std::this_thread::sleep_for(milliseconds{300});
    daemon.write(settings_text());
    if (signalled) {
        daemon.program->send_signal(SIGHUP);
        std::this_thread::sleep_for(milliseconds{300});
    }
    const auto began = steady_clock::now();
    daemon.program->send_signal(SIGTERM);
    const auto status = daemon.program->wait_exit(test_timeout);
    // The bound that ends an overdue shutdown follows the grace period too.
    CHECK((status == 0 || status == exit_shutdown_overdue));
    CHECK(steady_clock::now() - began < seconds{former_grace_s} / 2); // which of the two was taken
}

TEST_CASE("a gateway keeps serving after a reload with invalid settings") {
    running_daemon daemon;
    blocking_client client;
    daemon.write("{");
    daemon.program->send_signal(SIGHUP);
    REQUIRE(daemon.send_request(client));
    daemon.write(settings_text(R"(, "retry_slack": 7)"));
    daemon.program->send_signal(SIGHUP);
    REQUIRE(daemon.send_request(client));
    daemon.program->send_signal(SIGTERM);
    CHECK(daemon.program->wait_exit(test_timeout) == 0);
}
