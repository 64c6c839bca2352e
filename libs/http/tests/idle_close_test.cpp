// Closing of connections: idle ones, ones whose request does not arrive in time, and after a
// response.
#include "base/random.hpp"
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <set>
#include <thread>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// What keeps a server's only thread busy, from when it is reached until its release.
struct blockade {
    std::promise<void> release;
    std::future<void> reached;
};

// A server on a background thread.
class fixture {
public:
    explicit fixture(handler handle, server_limits limits = {}) {
        auto made = server::listen({io_.get_executor()}, "127.0.0.1:0", limits, std::move(handle));
        REQUIRE(made);
        server_ = std::move(made.value());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~fixture() {
        io_.stop();
        thread_.join();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    server& http_server() { return *server_; }

    blockade block() {
        auto reached = std::make_shared<std::promise<void>>();
        blockade made;
        made.reached = reached->get_future();
        asio::post(io_, [reached, released = made.release.get_future().share()] {
            reached->set_value();
            released.wait();
        });
        return made;
    }

    tcp::endpoint endpoint() const {
        return {asio::ip::make_address("127.0.0.1"), server_->port()};
    }

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<server> server_;
    std::thread thread_;
};

// A caller with one connection.
class caller {
public:
    explicit caller(const fixture& peer) { socket_.connect(peer.endpoint()); }

    // \param receive_buffer in bytes, set before the connection exists.
    caller(const fixture& peer, int receive_buffer) {
        socket_.open(tcp::v4());
        socket_.set_option(asio::socket_base::receive_buffer_size{receive_buffer});
        socket_.connect(peer.endpoint());
    }

    void send(const std::string& bytes) {
        boost::system::error_code ignored; // `read_response` reports a connection that was closed
        asio::write(socket_, asio::buffer(bytes), ignored);
    }

    // Returns the response up to its last byte, or what arrived before the connection ended.
    std::string read_response() {
        std::string text;
        const auto head = asio::read_until(socket_, asio::dynamic_buffer(text), "\r\n\r\n", end_);
        const std::string name = "Content-Length: ";
        const auto at = text.find(name);
        if (end_ || at == std::string::npos) {
            return text;
        }
        const auto whole = head + std::stoul(text.substr(at + name.size()));
        if (text.size() < whole) {
            asio::read(socket_, asio::dynamic_buffer(text),
                       asio::transfer_exactly(whole - text.size()), end_);
        }
        return text;
    }

    std::string read_to_end() {
        std::string text;
        asio::read(socket_, asio::dynamic_buffer(text), end_);
        return text;
    }

    std::string exchange(const std::string& bytes) {
        send(bytes);
        return read_response();
    }

    // How the last read ended.
    boost::system::error_code end() const { return end_; }

private:
    asio::io_context io_;
    tcp::socket socket_{io_};
    boost::system::error_code end_;
};

std::string get(const std::string& target, const std::string& headers = {}) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

bool is_success(const std::string& text) {
    return text.starts_with("HTTP/1.1 200");
}

awaitable<void> echo_target(const request& incoming, responder& out) {
    (void)co_await out.send(make_json_response(200, incoming.target));
}

} // namespace

// Guards against requests that are lost as their connection is closed as idle, although they had
// arrived while the server was busy.
TEST_CASE("a request that arrives before its connection is closed as idle is answered") {
    constexpr milliseconds idle_timeout{40};
    for (int round = 0; round < 10; ++round) {
        fixture peer{echo_target, {.idle_timeout = idle_timeout}};
        std::vector<std::unique_ptr<caller>> callers;
        for (int i = 0; i < 16; ++i) {
            callers.push_back(std::make_unique<caller>(peer));
            REQUIRE(is_success(callers.back()->exchange(get("/first"))));
        }
        const auto half = callers.begin() + static_cast<std::ptrdiff_t>(callers.size() / 2);
        auto first = peer.block();
        first.reached.wait();
        auto second = peer.block(); // runs after the server has looked for events once more
        std::this_thread::sleep_for(idle_timeout + milliseconds{10});
        std::for_each(callers.begin(), half, [](auto& early) { early->send(get("/early")); });
        first.release.set_value();
        // Now the limits of all others have ended, too, but the server has not acted on that yet.
        second.reached.wait();
        std::for_each(half, callers.end(), [](auto& late) { late->send(get("/late")); });
        second.release.set_value();
        for (auto& waiting : callers) {
            CHECK(is_success(waiting->read_response()));
        }
    }
}

// Guards against requests that are lost because a raised idle limit does not reach connections that
// already rest, while callers reuse them by the new limit.
TEST_CASE("a raised idle limit applies to connections that already rest") {
    fixture peer{echo_target, {.idle_timeout = milliseconds{100}}};
    caller unused{peer};
    caller kept{peer};
    REQUIRE(is_success(kept.exchange(get("/first"))));
    peer.http_server().set_limits({.idle_timeout = milliseconds{1'000}});
    std::this_thread::sleep_for(milliseconds{400});
    CHECK(is_success(kept.exchange(get("/second"))));
    CHECK(is_success(unused.exchange(get("/second"))));
}

// Guards against requests that are lost because a lowered idle limit closes connections that
// callers may still reuse by the limit they know.
TEST_CASE("a lowered idle limit does not close a connection early") {
    fixture peer{echo_target, {.idle_timeout = milliseconds{1'000}}};
    caller resting{peer};
    REQUIRE(is_success(resting.exchange(get("/first"))));
    peer.http_server().set_limits({.idle_timeout = milliseconds{50}});
    caller uninformed{peer};
    REQUIRE(is_success(uninformed.exchange(get("/first"))));
    std::this_thread::sleep_for(milliseconds{300});
    CHECK(is_success(resting.exchange(get("/second"))));
    CHECK(is_success(uninformed.exchange(get("/second"))));
}

// Guards against an idle time limit that no longer closes anything.
TEST_CASE("an idle connection is closed without a reset at its limit") {
    constexpr milliseconds idle_timeout{100};
    fixture peer{echo_target, {.idle_timeout = idle_timeout}};
    caller idle{peer};
    REQUIRE(is_success(idle.exchange(get("/first"))));
    const auto began = steady_clock::now();
    CHECK(idle.read_to_end().empty());
    CHECK(idle.end() == asio::error::eof);
    CHECK(steady_clock::now() - began >= idle_timeout - milliseconds{10});
    CHECK(steady_clock::now() - began < seconds{5});
    CHECK(peer.http_server().statistics().closed_idle == 1);
}

// Guards against a request that is cut in its header because a raised header limit does not reach
// headers that are already being read.
TEST_CASE("a raised header time limit applies to a header that is half read") {
    fixture peer{echo_target, {.header_timeout = milliseconds{100}}};
    caller slow{peer};
    slow.send("GET / HTTP/1.1\r\nHos");
    std::this_thread::sleep_for(milliseconds{20});
    peer.http_server().set_limits({.header_timeout = milliseconds{2'000}});
    std::this_thread::sleep_for(milliseconds{300});
    slow.send("t: a\r\n\r\n");
    CHECK(is_success(slow.read_response()));
}

// Guards against a request that gets neither a response nor a refusal because it did not arrive in
// time: the time-out used to close the connection under the refusal.
TEST_CASE("a request that does not arrive in time is refused with 408") {
    const auto* const part = GENERATE("GET / HTTP/1.1\r\nHos",
                                      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nbody",
                                      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked"
                                      "\r\n\r\n4\r\nbo");
    INFO(part);
    std::atomic<int> handled{0};
    fixture peer{[&](const request& /*incoming*/, responder& out) -> awaitable<void> {
                     ++handled;
                     (void)co_await out.send(make_json_response(200, ""));
                 },
                 {.header_timeout = milliseconds{50}, .request_timeout = milliseconds{50}}};
    caller slow{peer};
    slow.send(part);
    const auto text = slow.read_to_end();
    CHECK(text.starts_with("HTTP/1.1 408"));
    CHECK(text.find("request_timeout") != std::string::npos);
    CHECK(slow.end() == asio::error::eof);
    CHECK(handled == 0);
    CHECK(peer.http_server().statistics().refused_late == 1);
}

// Guards against a sender that keeps its connection open without end by sending a byte now and
// then.
TEST_CASE("a header that arrives byte by byte is refused with 408") {
    fixture peer{echo_target, {.header_bytes = 64U << 20U, .header_timeout = milliseconds{50}}};
    caller slow{peer};
    std::atomic<bool> refused{false};
    std::thread sender{[&] {
        slow.send("GET / HTTP/1.1\r\nLong: ");
        while (!refused) {
            slow.send("x");
        }
    }};
    const auto text = slow.read_response();
    refused = true;
    sender.join();
    INFO(text);
    CHECK(text.starts_with("HTTP/1.1 408"));
}

// Guards against a response of which a caller that reads late gets a part and a reset: the kernel's
// time-out for unacknowledged data also ended connections whose peer had no room for a while.
TEST_CASE("a caller with a small window that reads seconds late gets its whole response") {
    const std::string body(20'000, 'x');
    const bool streamed = GENERATE(false, true);
    INFO((streamed ? "streamed" : "whole"));
    fixture peer{[&](const request& /*incoming*/, responder& out) -> awaitable<void> {
        if (!streamed) {
            (void)co_await out.send(make_json_response(200, body));
            co_return;
        }
        response head;
        head.status = 200;
        (void)co_await out.begin(std::move(head));
        (void)co_await out.write(body);
        (void)co_await out.finish();
    }};
    constexpr int smallest_buffer = 2'304;
    caller late{peer, smallest_buffer};
    late.send(get("/", "Connection: close\r\n"));
    std::this_thread::sleep_for(milliseconds{4'500});
    const auto text = late.read_to_end();
    CHECK(late.end() == asio::error::eof);
    CHECK(text.find(body) != std::string::npos);
}

// Guards against a response that is destroyed by the reset that follows when a connection with
// unread bytes is closed.
TEST_CASE("a response arrives whole although bytes behind its request remain unread") {
    const std::string body(3U << 20U, 'x');
    fixture peer{[&](const request& incoming, responder& out) -> awaitable<void> {
        auto answer = make_json_response(200, incoming.target == "/first" ? body : std::string{});
        (void)co_await out.send(std::move(answer));
    }};
    for (int round = 0; round < 10; ++round) {
        caller pipelining{peer};
        pipelining.send(get("/first", "Connection: close\r\n"));
        pipelining.send(get("/second") + std::string(100'000, 'x'));
        std::this_thread::sleep_for(milliseconds{20});
        const auto text = pipelining.read_to_end();
        const bool whole = text.ends_with("\r\n\r\n" + body);
        CHECK(whole);
        CHECK(pipelining.end() == asio::error::eof);
    }
}

// Guards against a request that gets no response because its handler returned without one.
TEST_CASE("a handler that sends nothing gives status 500") {
    fixture peer{
        [](const request& /*incoming*/, responder& /*out*/) -> awaitable<void> { co_return; }};
    caller asking{peer};
    const auto text = asking.exchange(get("/"));
    CHECK(text.starts_with("HTTP/1.1 500"));
    CHECK(text.find("\"internal\"") != std::string::npos);
    CHECK(peer.http_server().statistics().handler_unfinished == 1);
}

// Guards against requests that were passed on to a handler and get no response, on connections that
// are reused about when their idle limit ends.
TEST_CASE("a request on a reused connection is answered or was never passed on") {
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    constexpr unsigned idle_ms = 20;
    constexpr unsigned longest_rest_us = 40'000;
    constexpr int caller_count = 8;
    constexpr int requests_per_caller = 60;
    std::mutex mutex;
    std::set<std::string> handled;
    random_source server_random{seed};
    fixture peer{[&](const request& incoming, responder& out) -> awaitable<void> {
                     {
                         const std::scoped_lock lock{mutex};
                         handled.insert(incoming.target);
                     }
                     if (server_random() % 8 == 0) { // the server's only thread is busy
                         std::this_thread::sleep_for(milliseconds{server_random() % idle_ms});
                     }
                     (void)co_await out.send(make_json_response(200, incoming.target));
                 },
                 {.idle_timeout = milliseconds{idle_ms}}};
    std::atomic<int> answered{0};
    std::set<std::string> unanswered;
    std::vector<std::string> faults;
    const auto run_caller = [&](int index) {
        random_source random{(seed * 100U) + static_cast<unsigned>(index)};
        auto connection = std::make_unique<caller>(peer);
        for (int i = 0; i < requests_per_caller; ++i) {
            std::this_thread::sleep_for(microseconds{random() % longest_rest_us});
            const auto target = '/' + std::to_string(index) + '-' + std::to_string(i);
            const auto text = connection->exchange(get(target));
            if (is_success(text) && text.ends_with(target)) {
                ++answered;
                continue;
            }
            const std::scoped_lock lock{mutex};
            unanswered.insert(target);
            if (!text.empty()) {
                faults.push_back(text);
            } else if (connection->end() != asio::error::eof) {
                faults.push_back(connection->end().message());
            }
            connection = std::make_unique<caller>(peer);
        }
    };
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int i = 0; i < caller_count; ++i) {
        callers.emplace_back(run_caller, i);
    }
    for (auto& running : callers) {
        running.join();
    }
    const std::scoped_lock lock{mutex};
    CHECK(faults == std::vector<std::string>{});
    for (const auto& target : unanswered) {
        CAPTURE(target);
        CHECK(!handled.contains(target));
    }
    CHECK(answered > caller_count);
}
