// Calls to peers that send unlimited data, or responses that match no request.
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <future>
#include <sys/resource.h>
#include <thread>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr seconds test_timeout{20};
// Callers abandon a request that has not been read for this long: a rule of the platform.
constexpr milliseconds unread_request_timeout{1'000};
// A call whose peer sends unlimited data must fail within this time, well before its deadline.
constexpr seconds early_failure_limit{8};

auto into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

constexpr std::size_t flood_size = 16U << 10U;

// What a peer sends for each request: `first` once, then `repeated` until the client closes.
struct peer_script {
    std::string first;
    std::string repeated{};
    milliseconds pause{0};             ///< between repetitions
    std::size_t part_size{flood_size}; ///< of `first`, in each write
};

// A scripted peer and a client, each on its own thread.
class hostile_peer {
public:
    explicit hostile_peer(peer_script script) : script_{std::move(script)} {
        client_ = client::make(io_.get_executor());
        asio::co_spawn(peer_io_, accept_loop(), asio::detached);
        thread_ = std::thread{[this] { io_.run(); }};
        peer_thread_ = std::thread{[this] { peer_io_.run(); }};
    }
    ~hostile_peer() {
        io_.stop();
        peer_io_.stop();
        thread_.join();
        peer_thread_.join();
    }
    hostile_peer(const hostile_peer&) = delete;
    hostile_peer& operator=(const hostile_peer&) = delete;

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    result<response> call(call_options options) {
        std::promise<result<response>> promise;
        auto future = promise.get_future();
        asio::co_spawn(
            io_,
            [](hostile_peer& self, call_options with,
               std::promise<result<response>>& completion) -> awaitable<void> {
                auto address = self.address();
                request message;
                auto answer = co_await self.client_->call(std::move(address), std::move(message),
                                                          std::move(with));
                completion.set_value(std::move(answer));
            }(*this, std::move(options), promise),
            asio::detached);
        return future.get();
    }

    result<std::optional<std::string>> first_line(time_point deadline) {
        std::promise<result<std::optional<std::string>>> promise;
        auto future = promise.get_future();
        asio::co_spawn(
            io_,
            [](hostile_peer& self, time_point until,
               std::promise<result<std::optional<std::string>>>& completion) -> awaitable<void> {
                auto address = self.address();
                request message;
                call_options options;
                options.deadline = until;
                auto opened =
                    co_await self.client_->open(std::move(address), std::move(message), options);
                if (!opened) {
                    completion.set_value(opened.error());
                    co_return;
                }
                auto line = co_await opened.value()->next_line(until);
                completion.set_value(std::move(line));
            }(*this, deadline, promise),
            asio::detached);
        return future.get();
    }

    int closed() const { return closed_; }
    int accepted() const { return accepted_; }

private:
    awaitable<void> accept_loop() {
        for (;;) {
            boost::system::error_code failure;
            auto socket = co_await acceptor_.async_accept(into(failure));
            if (failure) {
                co_return;
            }
            ++accepted_;
            asio::co_spawn(peer_io_, serve(std::move(socket)), asio::detached);
        }
    }

    awaitable<void> serve(tcp::socket socket) {
        std::string read;
        boost::system::error_code failure;
        for (;;) {
            const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(read),
                                                              "\r\n\r\n", into(failure));
            if (failure) {
                break;
            }
            read.erase(0, size);
            co_await write_first(socket, failure);
            while (!failure && !script_.repeated.empty()) {
                co_await asio::async_write(socket, asio::buffer(script_.repeated), into(failure));
                if (script_.pause > milliseconds{0}) {
                    asio::steady_timer timer{peer_io_, script_.pause};
                    boost::system::error_code ignored;
                    co_await timer.async_wait(into(ignored));
                }
            }
        }
        ++closed_;
    }

    awaitable<void> write_first(tcp::socket& socket, boost::system::error_code& failure) {
        socket.set_option(tcp::no_delay{true});
        const std::string_view all = script_.first;
        for (std::size_t sent = 0; sent < all.size() && !failure; sent += script_.part_size) {
            const auto part = all.substr(sent, script_.part_size);
            co_await asio::async_write(socket, asio::buffer(part.data(), part.size()),
                                       into(failure));
        }
    }

    peer_script script_;
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    asio::io_context peer_io_{1};
    tcp::acceptor acceptor_{peer_io_, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    std::unique_ptr<client> client_;
    std::thread thread_;
    std::thread peer_thread_;
    std::atomic<int> closed_{0};
    std::atomic<int> accepted_{0};
};

call_options within(milliseconds time) {
    call_options options;
    options.deadline = steady_clock::now() + time;
    options.matches_request = [](const response& head) { return head.headers.get("Id") == "mine"; };
    return options;
}

bool becomes_true(const std::function<bool()>& condition) {
    const auto until = steady_clock::now() + test_timeout;
    while (!condition() && steady_clock::now() < until) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    return condition();
}

std::size_t peak_memory_kb() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return static_cast<std::size_t>(used.ru_maxrss);
}

const std::string flood(flood_size, 'x');
const std::string flood_chunk = "4000\r\n" + flood + "\r\n";
const std::string chunked_head =
    "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string unmatched_head =
    "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("unlimited data in a head or a body ends the call and closes its connection") {
    const std::vector<std::pair<std::string, peer_script>> scripts{
        {"one unlimited header", {"HTTP/1.1 200 OK\r\nLong: ", flood}},
        {"unlimited headers", {"HTTP/1.1 200 OK\r\n", "Name: value\r\n"}},
        {"no end of line", {"", flood}},
        {"interim responses", {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"}},
        {"chunks", {chunked_head, flood_chunk}},
        {"a chunk extension", {chunked_head + "4;name=", flood}},
        {"trailers", {chunked_head + "1\r\nx\r\n0\r\n", "Name: value\r\n"}},
        {"a body delimited by the close", {"HTTP/1.1 200 OK\r\nId: mine\r\n\r\n", flood}},
        {"a response to another request", {unmatched_head, flood_chunk}},
    };
    for (const auto& [name, script] : scripts) {
        INFO(name);
        hostile_peer peer{script};
        const auto before = peak_memory_kb();
        const auto began = steady_clock::now();
        auto options = within(test_timeout);
        options.body_limit = 1U << 20U;
        const auto answer = peer.call(options);
        CHECK_FALSE(answer);
        CHECK(answer.error().ran == work_ran::unknown);
        CHECK(steady_clock::now() - began < early_failure_limit);
        CHECK(peak_memory_kb() - before < 32U << 10U);
        CHECK(becomes_true([&] { return peer.closed() == 1; }));
    }
}

TEST_CASE("a response to another request that arrives byte by byte ends the call early") {
    hostile_peer peer{{unmatched_head, "1\r\nx\r\n", milliseconds{20}}};
    const auto began = steady_clock::now();
    const auto answer = peer.call(within(test_timeout));
    CHECK_FALSE(answer);
    CHECK(steady_clock::now() - began < early_failure_limit);
}

// Guards against encoded bytes that are passed on as if they were the response.
TEST_CASE("a response in a transfer coding other than chunked is not used") {
    const std::string codings =
        GENERATE(as<std::string>{}, "gzip", "gzip, chunked", "chunked, gzip");
    INFO(codings);
    hostile_peer peer{{"HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nTransfer-Encoding: " +
                       codings + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}};
    const auto answer = peer.call(within(test_timeout));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == error_kind::incomplete_answer);
    CHECK(answer.error().ran == work_ran::unknown);
    CHECK(becomes_true([&] { return peer.closed() == 1; }));
}

// Guards against a line that is taken for a part of the field before it, however it arrives.
TEST_CASE("a response with a folded line is not used") {
    const std::string blank = GENERATE(" ", "\t");
    const std::size_t part_size = GENERATE(1, 7, 1'000);
    CAPTURE(blank, part_size);
    hostile_peer peer{{"HTTP/1.1 200 OK\r\nId: mine\r\nConnection: close\r\nSigned: value\r\n" +
                           blank + "Line: 1\r\nContent-Length: 5\r\n\r\nwhole",
                       {},
                       milliseconds{0},
                       part_size}};
    const auto answer = peer.call(within(test_timeout));
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == error_kind::connection_lost);
    CHECK(becomes_true([&] { return peer.closed() == 1; }));
}

// Guards against a body whose lines are taken for lines of the head.
TEST_CASE("a body with lines that begin with a blank is passed on") {
    const std::string body = " one\r\n two\r\n";
    hostile_peer peer{{"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body}};
    const auto answer = peer.call(within(test_timeout));
    REQUIRE(answer);
    CHECK(answer.value().body == body);
}

TEST_CASE("a line over the length limit is rejected") {
    hostile_peer peer{{chunked_head, flood_chunk}};
    const auto line = peer.first_line(steady_clock::now() + test_timeout);
    REQUIRE_FALSE(line);
    CHECK(line.error().kind == error_kind::too_large);
}

TEST_CASE("a peer that sends unlimited data does not delay other calls") {
    hostile_peer flooding{{chunked_head, flood_chunk}};
    constexpr int floods = 4;
    std::vector<std::thread> callers;
    callers.reserve(floods);
    std::atomic<bool> stop{false};
    for (int i = 0; i < floods; ++i) {
        callers.emplace_back([&] {
            while (!stop) {
                auto options = within(test_timeout);
                options.connection = connection_use::fresh;
                (void)flooding.call(std::move(options));
            }
        });
    }
    // These calls share the client's thread with the flooded ones.
    milliseconds longest{0};
    for (int i = 0; i < 50; ++i) {
        const auto began = steady_clock::now();
        auto options = within(milliseconds{1});
        options.connect_timeout = milliseconds{1};
        (void)flooding.call(std::move(options));
        longest = std::max(longest, std::chrono::floor<milliseconds>(steady_clock::now() - began));
    }
    stop = true;
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(longest < unread_request_timeout);
}

TEST_CASE("interim responses are skipped") {
    hostile_peer peer{{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nwhole"}};
    const auto answer = peer.call(within(test_timeout));
    REQUIRE(answer);
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body == "whole");
}

TEST_CASE("a connection with unread bytes is not reused") {
    const std::string whole = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 5\r\n\r\nwhole";
    hostile_peer peer{{whole + whole}};
    for (int i = 0; i < 3; ++i) {
        REQUIRE(peer.call(within(test_timeout)));
    }
    CHECK(peer.accepted() == 3);
}
