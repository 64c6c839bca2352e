// Graceful stop of a server, and clients that send unlimited data.
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

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
    asio::io_context& loop() { return io_; }
    tcp::endpoint endpoint() const {
        return {asio::ip::make_address("127.0.0.1"), server_->port()};
    }

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<server> server_;
    std::thread thread_;
};

awaitable<void> echo(const request& incoming, responder& out) {
    (void)co_await out.send(make_json_response(200, incoming.body));
}

} // namespace

// Guards against a planned stop under load that loses requests: those in a socket's receive buffer,
// or on a connection in the kernel's accept queue, when the server stops.
TEST_CASE("requests sent before a stop are answered") {
    for (int round = 0; round < 20; ++round) {
        std::promise<void> release;
        auto released = release.get_future().share();
        std::promise<void> arrived;
        std::atomic<bool> blocked{false};
        fixture peers{[&](const request& incoming, responder& out) -> awaitable<void> {
            if (!blocked.exchange(true)) {
                arrived.set_value();
                released.wait(); // blocks the server's only thread, so that it reads nothing
            }
            (void)co_await out.send(make_json_response(200, incoming.target));
        }};
        asio::io_context io;
        const auto connect = [&] {
            tcp::socket socket{io};
            socket.connect(peers.endpoint());
            return socket;
        };
        const auto send = [](tcp::socket& socket) {
            asio::write(socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}));
        };
        auto idle = connect(); // accepted before the server is busy
        std::this_thread::sleep_for(milliseconds{5});
        auto first = connect();
        send(first);
        arrived.get_future().wait();
        send(idle);
        auto unaccepted = connect();
        send(unaccepted);
        peers.http_server().stop_accepting();
        release.set_value();
        for (auto* const socket : {&first, &idle, &unaccepted}) {
            std::string text;
            boost::system::error_code end;
            asio::read(*socket, asio::dynamic_buffer(text), end);
            CHECK(text.starts_with("HTTP/1.1 200"));
        }
    }
}

// Guards against an exit between the read of a request and its response: no request counted as
// open, because the one that had arrived was not yet read.
TEST_CASE("when a stopped server has no connection left, what had arrived is answered") {
    for (int round = 0; round < 20; ++round) {
        fixture peers{echo};
        std::promise<void> release;
        std::promise<void> blocked;
        asio::io_context io;
        tcp::socket idle{io};
        idle.connect(peers.endpoint());
        std::this_thread::sleep_for(milliseconds{2});
        asio::post(peers.loop(), [&] {
            blocked.set_value();
            release.get_future().wait();
        });
        blocked.get_future().wait();
        tcp::socket unaccepted{io};
        unaccepted.connect(peers.endpoint());
        for (auto* const socket : {&idle, &unaccepted}) {
            asio::write(*socket, asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n"}));
        }
        peers.http_server().stop_accepting();
        std::promise<void> backlog_accepted;
        asio::post(peers.loop(), [&] {
            backlog_accepted.set_value();
            std::this_thread::sleep_for(milliseconds{5}); // the server's thread stays busy
        });
        release.set_value();
        backlog_accepted.get_future().wait();
        while (peers.http_server().open_connections() > 0) {
            std::this_thread::yield();
        }
        for (auto* const socket : {&idle, &unaccepted}) {
            CHECK(socket->available() > 0);
        }
    }
}

TEST_CASE("a request of unlimited size is rejected") {
    fixture peers{echo, {.body_bytes = 100'000, .header_bytes = 4'096}};
    const auto* const first = GENERATE(
        "GET / HTTP/1.1\r\nLong: ", "GET /",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;name=",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: ",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n");
    INFO(first);
    asio::io_context io;
    tcp::socket socket{io};
    socket.connect(peers.endpoint());
    boost::system::error_code failure;
    asio::write(socket, asio::buffer(std::string{first}), failure);
    const std::string flood(16U << 10U, 'x');
    std::size_t sent = 0;
    while (!failure) {
        sent += asio::write(socket, asio::buffer(flood), failure);
        REQUIRE(sent < 64U << 20U);
    }
    CHECK(peers.http_server().open_requests() == 0);
}
