/// \file
/// The daemon as a gateway, as a process, with nothing at the platform's address.
#include "support/blocking_client.hpp"
#include "support/process.hpp"
#include "support/run_program.hpp"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace boragefront;
using namespace boragefront::support;

namespace {

constexpr seconds patience{30}; // generous: a failure, not a slow machine, must end a wait

std::string settings_text(const std::string& more = "") {
    return R"({"role": "gateway", "id": "g-1", "data_centre": "a",
        "data_address": "127.0.0.1:0", "control_address": "127.0.0.1:0",
        "platform_address": "127.0.0.1:1",
        "gateway": {"ready_address": "127.0.0.1:0", "work_address": "127.0.0.1:0",
                    "grace_s": 3, "log_lines_per_second": 100000)" +
           more + "}}";
}

// A running gateway with its settings file.
struct running_daemon {
    running_daemon() {
        write(settings_text());
        auto started = process::start({BORAGEFRONTD, "--settings", file.string()},
                                      file.string() + ".log", patience);
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

    result<http::response> ask(blocking_client& client) const {
        http::request message;
        message.headers.add("Host", "any.example");
        return client.call(address, message, patience);
    }

    std::filesystem::path file{std::filesystem::temp_directory_path() /
                               ("gateway_daemon_test_" + std::to_string(::getpid()))};
    std::optional<process> program;
    std::string address;
};

} // namespace

TEST_CASE("a gateway without store and peers refuses truthfully and stops on SIGTERM") {
    running_daemon daemon;
    blocking_client client;
    const auto answer = daemon.ask(client);
    REQUIRE(answer);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().headers.has("Retry-After"));
    daemon.program->send_signal(SIGTERM);
    CHECK(daemon.program->wait_exit(patience) == 0);
}

// The test reads the first line of its output and nothing more, so the pipe fills and blocks.
TEST_CASE("a reader of standard output that stops for good delays no request and no stop",
          "[invariant]") {
    running_daemon daemon;
    blocking_client client;
    constexpr int requests = 3'000; // several times what the pipe and the queue hold
    int answered = 0;
    for (int i = 0; i < requests; ++i) {
        answered += daemon.ask(client) ? 1 : 0;
    }
    CHECK(answered == requests);
    daemon.program->send_signal(SIGTERM);
    CHECK(daemon.program->wait_exit(patience) == 0);
}

TEST_CASE("faulty settings of a gateway are refused with field, value and what is allowed") {
    const running_daemon daemon;
    daemon.write(settings_text(R"(, "cold_tolerance": 0.5, "unknown": 1)"));
    const auto outcome = run_program(BORAGEFRONTD, {"--settings", daemon.file.string(), "--check"});
    CHECK(outcome.status == 2);
    CHECK_THAT(outcome.errors,
               Catch::Contains("gateway.cold_tolerance: found a number 5E-1; must be a "
                               "number from 1 to 100"));
    CHECK_THAT(outcome.errors, Catch::Contains("gateway.unknown"));
}

TEST_CASE("a reload with faulty settings leaves the gateway serving") {
    running_daemon daemon;
    blocking_client client;
    daemon.write("{");
    daemon.program->send_signal(SIGHUP);
    REQUIRE(daemon.ask(client));
    daemon.write(settings_text(R"(, "retry_slack": 7)"));
    daemon.program->send_signal(SIGHUP);
    REQUIRE(daemon.ask(client));
    daemon.program->send_signal(SIGTERM);
    CHECK(daemon.program->wait_exit(patience) == 0);
}
