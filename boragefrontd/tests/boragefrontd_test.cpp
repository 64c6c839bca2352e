/// \file
/// Runs the daemon as a process and checks its command line and exit statuses.
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

// A temporary settings file, removed by the destructor.
class settings_file {
public:
    explicit settings_file(const std::string& text) { std::ofstream{path_} << text; }
    ~settings_file() { std::filesystem::remove(path_); }
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;
    std::string path() const { return path_.string(); }

private:
    static std::filesystem::path unused_path() {
        static int count = 0;
        return std::filesystem::temp_directory_path() /
               ("boragefrontd_test_" + std::to_string(::getpid()) + "_" + std::to_string(++count));
    }

    std::filesystem::path path_{unused_path()};
};

program_outcome run_daemon(const std::vector<std::string>& arguments) {
    return run_program(BORAGEFRONTD, arguments);
}

const std::string valid_settings = R"({"role": "entry", "id": "e-1", "data_centre": "oaxaca-ctr",
    "data_address": "127.0.0.1:0", "control_address": "127.0.0.1:0",
    "platform_address": "127.0.0.1:7000"})";

} // namespace

TEST_CASE("--check accepts valid settings") {
    const settings_file file{valid_settings};
    const auto outcome = run_daemon({"--settings", file.path(), "--check"});
    REQUIRE(outcome.status == 0);
    REQUIRE(outcome.errors.empty());
}

TEST_CASE("invalid settings are rejected with status 2 and file, field, found and expected value") {
    const settings_file file{R"({"role": "entry", "drain_timeout_ms": "soon"})"};
    const auto check = GENERATE(true, false);
    std::vector<std::string> arguments{"--settings", file.path()};
    if (check) {
        arguments.emplace_back("--check");
    }
    const auto outcome = run_daemon(arguments);
    REQUIRE(outcome.status == 2);
    REQUIRE(outcome.output.empty());
    for (const auto& part : {file.path(), std::string{"id: missing"},
                             std::string{"drain_timeout_ms: found a string \"soon\""},
                             std::string{"must be a whole number from 100 to 600000"}}) {
        REQUIRE_THAT(outcome.errors, Catch::Contains(part));
    }
}

TEST_CASE("a missing settings file is rejected") {
    const auto outcome = run_daemon({"--settings", "no/such/file.json"});
    REQUIRE(outcome.status == 2);
    REQUIRE_THAT(outcome.errors, Catch::Contains("no/such/file.json"));
}

TEST_CASE("an invalid command line is rejected, and --help is accepted") {
    REQUIRE(run_daemon({}).status == 2);
    REQUIRE(run_daemon({"--settings", "f", "extra"}).status == 2);
    REQUIRE(run_daemon({"--nonsense"}).status != 0);
    const auto help = run_daemon({"--help"});
    REQUIRE(help.status == 0);
    REQUIRE_THAT(help.output, Catch::Contains("--check"));
}

TEST_CASE("a daemon prints its bound addresses and shuts down gracefully on a signal") {
    const auto signal_number = GENERATE(SIGTERM, SIGINT);
    const settings_file file{valid_settings};
    auto daemon = process::start({BORAGEFRONTD, "--settings", file.path()}, file.path() + ".log",
                                 seconds{20});
    REQUIRE(daemon);
    for (const auto* field : {"data_address", "control_address"}) {
        const std::string address{daemon.value().first_line().at(field).as_string()};
        CAPTURE(field, address);
        REQUIRE_THAT(address, Catch::StartsWith("127.0.0.1:") && !Catch::EndsWith(":0"));
    }
    daemon.value().send_signal(signal_number);
    REQUIRE(daemon.value().wait_exit(seconds{20}) == 0);
    std::filesystem::remove(file.path() + ".log");
}

TEST_CASE("a daemon whose address is in use reports it and exits with status 1") {
    const settings_file file{valid_settings};
    auto first = process::start({BORAGEFRONTD, "--settings", file.path()}, file.path() + ".log",
                                seconds{20});
    REQUIRE(first);
    const std::string used_address{first.value().first_line().at("data_address").as_string()};
    std::filesystem::remove(file.path() + ".log");
    auto text = valid_settings;
    text.erase(text.find("127.0.0.1:0"), std::string_view{"127.0.0.1:0"}.size());
    text.insert(text.find(R"("data_address": ")") + 17, used_address);
    const settings_file second{text};
    const auto outcome = run_daemon({"--settings", second.path()});
    REQUIRE(outcome.status == 1);
    REQUIRE_THAT(outcome.errors, Catch::Contains(used_address));
}
