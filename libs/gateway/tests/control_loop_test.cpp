#include "control_loop.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/make_shared.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>

using namespace boragefront;
using namespace boragefront::gateway;

namespace {

namespace asio = boost::asio;

settings::daemon_settings make_settings(const std::string& store_address = "127.0.0.1:1") {
    settings::daemon_settings settings;
    settings.id = "entry-1";
    settings.control_address = "127.0.0.1:0";
    settings.platform_address = store_address;
    settings.role = settings::gateway_settings{};
    return settings;
}

control_callbacks make_callbacks() {
    control_callbacks callbacks;
    callbacks.publish = [](const std::shared_ptr<const indexed_snapshot>& /*next*/) {};
    callbacks.set_fleet = [](const fleet_view& /*view*/) {};
    callbacks.merge_suspects = [](const std::vector<quarantine::part_report>& /*reports*/) {};
    callbacks.dump_traffic = [] { return std::string{"{}"}; };
    callbacks.open_requests = [] { return std::size_t{0}; };
    return callbacks;
}

// Collects the lines that are logged.
class log_capture {
public:
    log_capture() {
        auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        backend->add_stream(boost::shared_ptr<std::ostream>{&lines_, boost::null_deleter{}});
        backend->auto_flush(true);
        sink_ = boost::make_shared<sink>(backend);
        boost::log::core::get()->add_sink(sink_);
    }
    ~log_capture() { boost::log::core::get()->remove_sink(sink_); }
    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    std::string text() const {
        (void)sink_->locked_backend(); // waits for a line that is being written
        return lines_.str();
    }

private:
    using sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;
    std::ostringstream lines_;
    boost::shared_ptr<sink> sink_;
};

// An event loop on a thread of its own.
class running_loop {
public:
    ~running_loop() {
        io.stop();
        thread_.join();
    }
    asio::io_context io{1};

private:
    asio::executor_work_guard<asio::io_context::executor_type> work_{io.get_executor()};
    std::thread thread_{[this] { io.run(); }};
};

// A control loop on a thread of its own.
class running_control_loop {
public:
    explicit running_control_loop(std::unique_ptr<control_loop> loop)
        : loop_{std::move(loop)}, thread_{[this] { loop_->run(); }} {}
    ~running_control_loop() {
        loop_->stop();
        thread_.join();
    }
    running_control_loop(const running_control_loop&) = delete;
    running_control_loop& operator=(const running_control_loop&) = delete;
    control_loop& operator*() const { return *loop_; }

private:
    std::unique_ptr<control_loop> loop_;
    std::thread thread_;
};

bool soon(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + seconds{20};
    while (!condition()) {
        if (steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    return true;
}

// Throws in its first calls, as a library or a decoder may on odd input.
class failing_callback {
public:
    explicit failing_callback(unsigned failures) : failures_{failures} {}
    void operator()() {
        if (++calls_ <= failures_) {
            throw std::runtime_error{"odd input"};
        }
    }
    unsigned calls() const { return calls_; }

private:
    unsigned failures_;
    std::atomic<unsigned> calls_{0};
};

http::awaitable<void> answer_list(const http::request& message, http::responder& out) {
    const bool is_watch = message.target.find("watch") != std::string::npos;
    std::string body = R"({"items":[],"store_revision":7})";
    if (!is_watch && message.target.find("prefix=op/") != std::string::npos) {
        // {"version":1}
        body = R"({"items":[{"key":"op/config","revision":7,"value":"eyJ2ZXJzaW9uIjoxfQ=="}],)"
               R"("store_revision":7})";
    }
    (void)co_await out.send(http::make_json_response(is_watch ? 503 : 200, std::move(body)));
}

asio::awaitable<bool> is_answered(wire::client& peer, std::string address, wire::request message) {
    const auto answer =
        co_await peer.call(std::move(address), std::move(message), milliseconds{5'000});
    co_return static_cast<bool>(answer);
}

} // namespace

// Guards against a hanging control thread while the traffic thread continues: the entry would go on
// serving with stale state.
TEST_CASE("a control thread that does not run is detected") {
    metrics_registry metrics;
    const auto loop =
        control_loop::make(make_settings(), "127.0.0.1:0", {}, metrics); // never started
    REQUIRE(loop);
    const auto now = steady_clock::now();
    CHECK(loop.value()->is_responsive(now));
    CHECK_FALSE(loop.value()->is_responsive(now + seconds{4}));
}

// Guards against an exception that ends the exchange with peers, or the process, without a line.
TEST_CASE("trouble: the exchange with peers goes on after an exception") {
    log_capture log;
    metrics_registry metrics;
    failing_callback set_fleet{3};
    auto callbacks = make_callbacks();
    callbacks.set_fleet = [&](const fleet_view& /*view*/) { set_fleet(); };
    auto made = control_loop::make(make_settings(), "127.0.0.1:0", callbacks, metrics);
    REQUIRE(made);
    const running_control_loop loop{std::move(made.value())};
    CHECK(soon([&] { return set_fleet.calls() > 5; }));
    CHECK((*loop).is_responsive(steady_clock::now()));
    CHECK(log.text().find("odd input") != std::string::npos);
    CHECK(log.text().find("gossip_loop") != std::string::npos);
}

// Guards against an exception that ends the following of the store without a line.
TEST_CASE("trouble: the store is followed on after an exception") {
    log_capture log;
    running_loop stand_in;
    const auto store =
        http::server::listen({stand_in.io.get_executor()}, "127.0.0.1:0", {}, answer_list);
    REQUIRE(store);
    metrics_registry metrics;
    failing_callback publish{2};
    auto callbacks = make_callbacks();
    callbacks.publish = [&](const std::shared_ptr<const indexed_snapshot>& /*next*/) { publish(); };
    auto made =
        control_loop::make(make_settings("127.0.0.1:" + std::to_string(store.value()->port())),
                           "127.0.0.1:0", callbacks, metrics);
    REQUIRE(made);
    const running_control_loop loop{std::move(made.value())};
    CHECK(soon([&] { return publish.calls() > 2; }));
    // The watches are refused: only a loop that goes on counts such answers.
    for (const auto* const part : {"operators", "endpoints"}) {
        INFO(part);
        const auto labels = "part=\"" + std::string{part} + R"(",outcome="unavailable")";
        CHECK(soon([&] {
            return metrics.get_counter("boragefront_store_calls_total", labels).value() > 2;
        }));
    }
    CHECK(log.text().find("odd input") != std::string::npos);
}

// Guards against an exception in the answer to a peer that ends the process, or leaves the peer
// and those after it without an answer.
TEST_CASE("trouble: a message of a peer whose handling throws ends nothing else") {
    log_capture log;
    running_loop peer;
    metrics_registry metrics;
    failing_callback merge_suspects{40};
    auto callbacks = make_callbacks();
    callbacks.merge_suspects = [&](const std::vector<quarantine::part_report>& /*reports*/) {
        merge_suspects();
    };
    auto made = control_loop::make(make_settings(), "127.0.0.1:0", callbacks, metrics);
    REQUIRE(made);
    const running_control_loop loop{std::move(made.value())};
    auto client = wire::client::make(
        peer.io.get_executor(), {metrics.get_counter("sent"), metrics.get_counter("received")});
    wire::gossip_request message;
    message.self.id = "entry-2";
    message.self.control_address = "127.0.0.1:1";
    message.suspected_parts.push_back({"part", {}});
    for (unsigned calls = 1; calls <= 41; ++calls) { // more than a server answers at once
        INFO("call " << calls);
        auto answered = asio::co_spawn(
            peer.io, is_answered(*client, (*loop).control_address(), message), asio::use_future);
        CHECK(answered.get() == (calls > 40));
    }
    CHECK(merge_suspects.calls() >= 41);
    CHECK(log.text().find("odd input") != std::string::npos);
}
