/// \file
/// Gateway processes that are frozen for moments, one after the other, while all call each other.
#include "base/metrics.hpp"
#include "support/process.hpp"
#include "wire/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

using namespace boragefront;
using namespace boragefront::support;

namespace {

namespace asio = boost::asio;

constexpr seconds test_timeout{30};
constexpr milliseconds freeze_time{400}; // as long as a call to a peer waits
constexpr milliseconds wake_time{50};
constexpr milliseconds settle_time{500};
constexpr milliseconds call_timeout{2'000};
constexpr seconds grace{3};
constexpr milliseconds exit_margin{1'000};
constexpr std::size_t gateways = 8;
constexpr int freezes = 24; // of each

class gateway_fleet {
public:
    gateway_fleet() {
        std::filesystem::create_directories(folder_);
        for (std::size_t i = 0; i < gateways; ++i) {
            start(i);
        }
    }
    ~gateway_fleet() {
        running_.clear();
        std::filesystem::remove_all(folder_);
    }
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;

    process& at(std::size_t index) { return running_[index]; }
    const std::string& control_address(std::size_t index) const { return controls_[index]; }

private:
    void start(std::size_t index) {
        boost::json::array seeds(controls_.begin(), controls_.end());
        const auto id = "g-" + std::to_string(index);
        const auto settings = folder_ / id;
        std::ofstream{settings} << boost::json::serialize(
            boost::json::object{{"role", "gateway"},
                                {"id", id},
                                {"data_centre", "a"},
                                {"data_address", "127.0.0.1:0"},
                                {"control_address", "127.0.0.1:0"},
                                {"platform_address", "127.0.0.1:1"},
                                {"seed_peers", seeds},
                                {"gateway", boost::json::object{{"ready_address", "127.0.0.1:0"},
                                                                {"work_address", "127.0.0.1:0"},
                                                                {"grace_s", grace.count()}}}});
        auto started = process::start({BORAGEFRONTD, "--settings", settings.string()},
                                      settings.string() + ".log", test_timeout,
                                      process::further_output::logged);
        REQUIRE(started);
        running_.push_back(std::move(started.value()));
        controls_.emplace_back(running_.back().first_line().at("control_address").as_string());
    }

    std::filesystem::path folder_{std::filesystem::temp_directory_path() /
                                  ("entry_freeze_test_" + std::to_string(::getpid()))};
    std::vector<process> running_;
    std::vector<std::string> controls_;
};

result<wire::answer> ask_status(const std::string& address) {
    asio::io_context io{1};
    counter sent;
    counter received;
    const auto client = wire::client::make(io.get_executor(), wire::byte_counters{sent, received});
    std::optional<result<wire::answer>> answer;
    asio::co_spawn(
        io,
        [](wire::client& with, std::string to,
           std::optional<result<wire::answer>>& out) -> asio::awaitable<void> {
            wire::request message = wire::status_request{};
            out = co_await with.call(std::move(to), std::move(message), call_timeout);
        }(*client, address, answer),
        asio::detached);
    io.run();
    return std::move(*answer);
}

} // namespace

// Closing the connection to a peer that had been silent blocked the event loops for good.
TEST_CASE("entries that are frozen for moments answer and stop afterwards", "[invariant]") {
    gateway_fleet fleet;
    std::vector<std::thread> injectors;
    for (std::size_t i = 0; i < gateways; ++i) {
        injectors.emplace_back([&, i] {
            std::this_thread::sleep_for(wake_time * i);
            for (int n = 0; n < freezes; ++n) {
                fleet.at(i).send_signal(SIGSTOP);
                std::this_thread::sleep_for(freeze_time);
                fleet.at(i).send_signal(SIGCONT);
                std::this_thread::sleep_for(wake_time * (1 + n % 5));
            }
        });
    }
    for (auto& one : injectors) {
        one.join();
    }
    std::this_thread::sleep_for(settle_time);
    for (std::size_t i = 0; i < gateways; ++i) {
        INFO("gateway " << i);
        CHECK(ask_status(fleet.control_address(i)));
        fleet.at(i).send_signal(SIGTERM);
    }
    for (std::size_t i = 0; i < gateways; ++i) {
        INFO("gateway " << i);
        CHECK(fleet.at(i).wait_exit(grace + exit_margin) == 0);
    }
}
