/// \file
/// The commands that ask running processes, against control servers whose answers are known.
#include "base/metrics.hpp"
#include "support/run_program.hpp"
#include "wire/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace boragefront;
using namespace boragefront::support;
namespace asio = boost::asio;

namespace {

// Answers status, dump and metrics; its revision rises by one with each status that it tells.
class fake_process {
public:
    fake_process(revision first, revision last, std::string dump = R"({"a": 1})")
        : revision_{first}, last_{last}, dump_{std::move(dump)} {
        auto made = wire::server::listen(
            io_.get_executor(), "127.0.0.1:0",
            [this](const wire::request& asked) { return answer(asked); },
            wire::byte_counters{sent_, received_});
        REQUIRE(made);
        server_ = std::move(made.value());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~fake_process() {
        io_.stop();
        thread_.join();
        server_.reset();
    }
    fake_process(const fake_process&) = delete;
    fake_process& operator=(const fake_process&) = delete;

    std::string address() const { return server_->address(); }

private:
    wire::answer answer(const wire::request& asked) {
        if (std::holds_alternative<wire::dump_request>(asked)) {
            return wire::dump_answer{dump_};
        }
        if (std::holds_alternative<wire::metrics_request>(asked)) {
            return wire::metrics_answer{"requests_total 3\n"};
        }
        wire::status_answer process;
        process.id = "e-1";
        process.data_centre = "puebla-nte";
        process.phase = wire::service_phase::draining;
        process.highest = revision_;
        process.knowledge_age = milliseconds{40};
        process.in_flight = 7;
        process.ready = true;
        revision_ = std::min(revision_ + 1, last_);
        return process;
    }

    counter sent_;
    counter received_;
    revision revision_;
    revision last_;
    std::string dump_;
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<wire::server> server_;
    std::thread thread_;
};

constexpr auto nobody = "127.0.0.1:1";

program_outcome ctl(std::vector<std::string> arguments) {
    arguments.emplace_back("--timeout_ms=1000");
    return run_program(BORAGEFRONTCTL, arguments);
}

} // namespace

TEST_CASE("status has a line for each process") {
    fake_process process{12, 12};
    const auto outcome = ctl({"status", "--peers", process.address()});
    CAPTURE(outcome.errors);
    REQUIRE(outcome.status == 0);
    for (const auto* part : {"e-1", "entry", "puebla-nte", "draining", "12", "40", "7"}) {
        REQUIRE_THAT(outcome.output, Catch::Contains(part));
    }
    const auto as_json = ctl({"status", "--json", "--peers", process.address()});
    const auto list = boost::json::parse(as_json.output).at("processes").as_array();
    REQUIRE(list.at(0).at("draining").as_bool());
    REQUIRE(list.at(0).at("revision").to_number<int>() == 12);
}

TEST_CASE("a process that holds no configuration has no age of knowledge") {
    fake_process process{0, 0};
    REQUIRE_THAT(ctl({"status", "--peers", process.address()}).output,
                 Catch::Contains(" 0        -"));
    const auto as_json = ctl({"status", "--json", "--peers", process.address()});
    const auto list = boost::json::parse(as_json.output).at("processes").as_array();
    REQUIRE(list.at(0).at("knowledge_age_ms").is_null());
}

TEST_CASE("a process that does not answer is named, and the status is 1") {
    fake_process process{12, 12};
    const auto outcome = ctl({"status", "--peers", process.address() + "," + std::string{nobody}});
    REQUIRE(outcome.status == 1);
    REQUIRE_THAT(outcome.output, Catch::Contains("e-1"));
    REQUIRE_THAT(outcome.errors, Catch::Contains(nobody));
    REQUIRE(ctl({"dump", nobody}).status == 1);
    REQUIRE(ctl({"status"}).status == 2);
}

TEST_CASE("dump and metrics print what the process answers") {
    fake_process process{1, 1};
    REQUIRE(ctl({"dump", process.address()}).output == "{\"a\": 1}\n");
    REQUIRE(ctl({"metrics", process.address()}).output == "requests_total 3\n");
}

TEST_CASE("explain tells which endpoints of a pool may be chosen, and why not the others") {
    fake_process entry{1, 1, R"({"instances": {"believed": [{"id": "g-1", "pool": "engines"},
        {"id": "g-2", "pool": "engines"}, {"id": "o-1", "pool": "orders"}]},
        "role_state": {"endpoints": [
        {"id": "g-1", "data_centre": "d", "not_chosen_because": "none", "limit": 8,
         "own_in_flight": 1, "reported_queued": 0, "heard_ms_ago": 12},
        {"id": "g-2", "data_centre": "d", "not_chosen_because": "out", "limit": 8,
         "own_in_flight": 1, "reported_queued": 0, "heard_ms_ago": 12},
        {"id": "o-1", "data_centre": "d", "not_chosen_because": "none", "limit": 8,
         "own_in_flight": 1, "reported_queued": 0, "heard_ms_ago": 12}]}})"};
    const auto outcome = ctl({"explain", entry.address(), "engines"});
    CAPTURE(outcome.errors);
    REQUIRE(outcome.status == 0);
    REQUIRE_THAT(outcome.output, Catch::Contains("may be chosen") && Catch::Contains("  out\n") &&
                                     !Catch::Contains("o-1"));
    REQUIRE(ctl({"explain", entry.address(), "no-such-pool"}).status == 1);
    REQUIRE(ctl({"explain", entry.address()}).status == 2);
    fake_process sidecar{1, 1};
    const auto other = ctl({"explain", sidecar.address(), "engines"});
    REQUIRE(other.status == 1);
    REQUIRE_THAT(other.errors, Catch::Contains("not the dump of an entry"));
}

TEST_CASE("config rollout waits until every process holds the revision") {
    fake_process quick{9, 9};
    fake_process slow{7, 9};
    const auto outcome = ctl({"config", "rollout", "--revision", "9", "--peers",
                              quick.address() + "," + slow.address()});
    CAPTURE(outcome.output, outcome.errors);
    REQUIRE(outcome.status == 0);
    REQUIRE_THAT(outcome.output, Catch::Contains("at 2 of 2"));
}

TEST_CASE("config rollout names the stragglers when its time is over") {
    fake_process behind{7, 7};
    const auto outcome = ctl({"config", "rollout", "--revision", "9", "--wait_s", "1", "--peers",
                              behind.address() + "," + std::string{nobody}});
    REQUIRE(outcome.status == 1);
    REQUIRE_THAT(outcome.errors,
                 Catch::Contains("e-1 holds revision 7") && Catch::Contains(nobody));
    REQUIRE(ctl({"config", "rollout", "--peers", behind.address()}).status == 2);
}
