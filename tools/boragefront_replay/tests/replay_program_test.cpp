/// \file
/// The program against an entry whose answers are known.
#include "http/server.hpp"
#include "support/run_program.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>
#include <unistd.h>

using namespace boragefront;
using namespace boragefront::support;
namespace asio = boost::asio;

namespace {

// Answers like an entry: service "own" with the request's own marker, "foreign" with another's,
// "stream" by tokens, and everything else as unknown.
class fake_entry {
public:
    explicit fake_entry(bool ready = true) : ready_{ready} {
        auto made = http::server::listen(
            {io_.get_executor()}, "127.0.0.1:0", {},
            [this](const http::request& incoming, http::responder& out) -> http::awaitable<void> {
                return answer(incoming, out);
            });
        REQUIRE(made);
        server_ = std::move(made.value());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~fake_entry() {
        io_.stop();
        thread_.join();
    }
    fake_entry(const fake_entry&) = delete;
    fake_entry& operator=(const fake_entry&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    unsigned requests() const { return requests_; }

    std::set<std::string> keys() {
        const std::scoped_lock lock{mutex_};
        return keys_;
    }

private:
    http::awaitable<void> answer(const http::request& incoming, http::responder& out) {
        if (incoming.target == "/readyz") {
            return answer_probe(ready_, out);
        }
        ++requests_;
        if (incoming.headers.has("Idempotency-Key")) {
            const std::scoped_lock lock{mutex_};
            keys_.emplace(incoming.headers.get("Idempotency-Key"));
        }
        const auto service = http::path_segments(incoming.target).back();
        if (service == "stream") {
            return answer_stream(out);
        }
        return answer_whole(service, incoming.body, out);
    }

    static http::awaitable<void> answer_probe(bool ready, http::responder& out) {
        const auto answer = http::make_json_response(ready ? 200 : 503, "{}");
        (void)co_await out.send(answer);
    }

    static http::awaitable<void> answer_whole(std::string service, std::string body,
                                              http::responder& out) {
        http::response whole = http::make_json_response(200, R"({"result": )" + body + "}");
        if (service == "foreign") {
            whole.body = R"({"result": {"marker": "m-other"}})";
        } else if (service != "own") {
            const auto failure = make_error(error_kind::unknown_service, "none");
            whole = http::make_json_response(404, to_problem_json(failure));
        }
        (void)co_await out.send(whole);
    }

    static http::awaitable<void> answer_stream(http::responder& out) {
        http::response head;
        head.headers.set("Content-Type", "text/event-stream");
        (void)co_await out.begin(head);
        (void)co_await out.write("event: token\ndata: {\"index\": 0, \"text\": \"m-1\"}\n\n");
        (void)co_await out.write("event: end\ndata: {\"count\": 1}\n\n");
        (void)co_await out.finish();
    }

    bool ready_;
    std::atomic<unsigned> requests_{0};
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<http::server> server_;
    std::mutex mutex_;
    std::set<std::string> keys_;
    std::thread thread_;
};

std::string line_for(const std::string& service, bool repeatable, int arrival_ms = 0) {
    boost::json::object line{
        {"arrival_ms", arrival_ms},
        {"workspace", "w"},
        {"service", service},
        {"body", {{"marker", "m-1"}}},
        {"deadline_ms", 10'000},
        {"repeatable", repeatable},
        {"stream", service == "stream"},
        {"expected", {{"outcome", "answer"}, {"marker", "m-1"}}},
    };
    return boost::json::serialize(line) + '\n';
}

// A trace file that exists as long as this object.
class trace_file {
public:
    explicit trace_file(const std::string& text) { std::ofstream{path_} << text; }
    ~trace_file() { std::filesystem::remove(path_); }
    trace_file(const trace_file&) = delete;
    trace_file& operator=(const trace_file&) = delete;
    std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_{std::filesystem::temp_directory_path() /
                                ("replay_test_" + std::to_string(::getpid()) + ".jsonl")};
};

program_outcome replay_trace(const std::string& trace, const std::string& entries) {
    return run_program(BORAGEFRONT_REPLAY,
                       {"--trace", trace, "--entries", entries, "--json", "--speed", "10"});
}

} // namespace

TEST_CASE("whole answers and streams are attained; orders carry a key each") {
    fake_entry entry;
    const trace_file trace{line_for("own", true) + line_for("stream", true) +
                           line_for("own", false) + line_for("own", false)};
    const auto outcome = replay_trace(trace.path(), entry.address());
    CAPTURE(outcome.output, outcome.errors);
    REQUIRE(outcome.status == 0);
    const auto report = boost::json::parse(outcome.output);
    REQUIRE(report.at("all").at("attained").to_number<int>() == 4);
    REQUIRE(entry.keys().size() == 2);
}

TEST_CASE("an unreachable entry is passed over") {
    fake_entry entry;
    const trace_file trace{line_for("own", true) + line_for("own", true)};
    const auto outcome = replay_trace(trace.path(), "127.0.0.1:1," + entry.address());
    CAPTURE(outcome.output);
    REQUIRE(outcome.status == 0);
}

TEST_CASE("an entry that is not ready gets no requests once it was probed") {
    fake_entry ready;
    fake_entry draining{false};
    constexpr int well_after_the_first_probe_ms = 10'000; // a second at the speed of the test
    const trace_file trace{line_for("own", true, well_after_the_first_probe_ms) +
                           line_for("own", true, well_after_the_first_probe_ms)};
    const auto outcome = replay_trace(trace.path(), draining.address() + "," + ready.address());
    REQUIRE(outcome.status == 0);
    REQUIRE(ready.requests() == 2);
    REQUIRE(draining.requests() == 0);
}

TEST_CASE("an answer that is not the caller's own, or an error, is not attained") {
    fake_entry entry;
    const trace_file trace{line_for("foreign", true) + line_for("other", true)};
    const auto outcome = replay_trace(trace.path(), entry.address());
    REQUIRE(outcome.status == 1);
    const auto report = boost::json::parse(outcome.output);
    REQUIRE(report.at("all").at("attained").to_number<int>() == 0);
    REQUIRE(report.at("outcomes").at("foreign_answer").to_number<int>() == 1);
    REQUIRE(report.at("outcomes").at("unknown_service").to_number<int>() == 1);
}

TEST_CASE("a wrong command line or trace is refused with status 2") {
    REQUIRE(run_program(BORAGEFRONT_REPLAY, {}).status == 2);
    const auto absent = replay_trace("no/such/trace", "127.0.0.1:1");
    REQUIRE(absent.status == 2);
    REQUIRE_THAT(absent.errors, Catch::Contains("no/such/trace"));
    const trace_file trace{"{}\n"};
    const auto broken = replay_trace(trace.path(), "127.0.0.1:1");
    REQUIRE(broken.status == 2);
    REQUIRE_THAT(broken.errors, Catch::Contains("line 1") && Catch::Contains("arrival_ms"));
    REQUIRE(run_program(BORAGEFRONT_REPLAY, {"--help"}).status == 0);
}
