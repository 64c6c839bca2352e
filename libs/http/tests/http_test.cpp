#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;

namespace {

constexpr seconds test_timeout{20};

// A server and a client that share a background thread.
class fixture {
public:
    explicit fixture(handler handle, server_limits limits = {}) {
        auto made = server::listen({io_.get_executor()}, "127.0.0.1:0", limits, std::move(handle));
        REQUIRE(made);
        server_ = std::move(made.value());
        client_ = client::make(io_.get_executor());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~fixture() {
        io_.stop();
        thread_.join();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    result<response> call(request message, const call_options& options) {
        return wait(client_->call(address(), std::move(message), options));
    }
    result<response> call(request message) {
        return call(std::move(message), {.deadline = steady_clock::now() + test_timeout});
    }

    template <class T>
    T wait(awaitable<T> operation) {
        std::promise<T> promise;
        auto future = promise.get_future();
        asio::co_spawn(io_, set_promise(std::move(operation), promise), asio::detached);
        return future.get();
    }

    // `co_spawn` would require a result to be default-constructible.
    template <class T>
    static awaitable<void> set_promise(awaitable<T> operation, std::promise<T>& promise) {
        if constexpr (std::is_void_v<T>) {
            co_await std::move(operation);
            promise.set_value();
        } else {
            promise.set_value(co_await std::move(operation));
        }
    }

    client& http_client() { return *client_; }
    server& http_server() { return *server_; }

private:
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<server> server_;
    std::unique_ptr<client> client_;
    std::thread thread_;
};

awaitable<void> echo(const request& incoming, responder& out) {
    (void)co_await out.send(make_json_response(200, incoming.body));
}

awaitable<void> never_respond(const request& /*incoming*/, responder& out) {
    auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer{executor, std::chrono::hours{1}};
    out.on_peer_closed([&timer] { timer.cancel(); });
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

TEST_CASE("consecutive calls get their responses") {
    fixture peers{echo};
    for (const auto* body : {"one", "two", ""}) {
        const auto answer = peers.call({.method = "POST", .body = body});
        REQUIRE(answer);
        REQUIRE(answer.value().status == 200);
        REQUIRE(answer.value().body == body);
    }
}

TEST_CASE("a body over the limit is rejected with too_large") {
    fixture peers{echo, {.body_bytes = 10}};
    const auto answer = peers.call({.method = "POST", .body = std::string(100, 'x')});
    REQUIRE(answer);
    REQUIRE(answer.value().status == 413);
    REQUIRE(from_problem_json(answer.value().body)->kind == error_kind::too_large);
}

TEST_CASE("a malformed request is rejected with bad_request") {
    fixture peers{echo};
    asio::io_context io;
    asio::ip::tcp::socket socket{io};
    socket.connect({asio::ip::make_address("127.0.0.1"), peers.http_server().port()});
    asio::write(socket, asio::buffer(std::string{"\x01\x02 garbage\r\n\r\n"}));
    std::string text;
    boost::system::error_code end;
    asio::read(socket, asio::dynamic_buffer(text), end);
    REQUIRE(text.find(" 400 ") != std::string::npos);
    REQUIRE(text.find("bad_request") != std::string::npos);
}

TEST_CASE("a refused connection gives connect_failed, and no work ran") {
    fixture peers{echo};
    const auto answer = peers.wait(peers.http_client().call(
        "127.0.0.1:1", {}, {.deadline = steady_clock::now() + test_timeout}));
    REQUIRE_FALSE(answer);
    REQUIRE(answer.error().kind == error_kind::connect_failed);
    REQUIRE(answer.error().ran == work_ran::no);
}

TEST_CASE("a peer that does not respond gives deadline_exceeded with an unknown outcome") {
    fixture peers{never_respond};
    const auto answer = peers.call({}, {.deadline = steady_clock::now() + milliseconds{50}});
    REQUIRE_FALSE(answer);
    REQUIRE(answer.error().kind == error_kind::deadline_exceeded);
    REQUIRE(answer.error().ran == work_ran::unknown);
}

TEST_CASE("an exception in a handler gives status 500") {
    fixture peers{[](const request&, responder&) -> awaitable<void> {
        throw std::runtime_error{"broken"};
        co_return;
    }};
    const auto answer = peers.call({});
    REQUIRE(answer);
    REQUIRE(answer.value().status == 500);
}

// A response that does not identify its call must not be taken for the response to another call.
TEST_CASE("a call with a connection of its own shares it with no other call") {
    fixture peers{[](const request& message, responder& out) -> awaitable<void> {
        (void)co_await out.send(
            make_json_response(200, std::string{message.headers.get("Connection")}));
    }};
    const call_options pooled{.deadline = steady_clock::now() + test_timeout};
    auto alone = pooled;
    alone.connection = connection_use::single_use;
    const auto open_connections_fall_to = [&](std::size_t expected) {
        const auto until = steady_clock::now() + test_timeout;
        while (peers.http_server().open_connections() != expected && steady_clock::now() < until) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        return peers.http_server().open_connections() == expected;
    };
    REQUIRE(peers.call({}, pooled));
    for (int i = 0; i < 2; ++i) {
        const auto answer = peers.call({}, alone);
        REQUIRE(answer);
        CHECK(answer.value().body == "close");
        CHECK(open_connections_fall_to(1)); // the pooled one
    }
    const auto answer = peers.call({}, pooled);
    REQUIRE(answer);
    CHECK(answer.value().body.empty());
    CHECK(peers.http_server().open_connections() == 1);
}

TEST_CASE("a stream is read line by line to its end") {
    fixture peers{[](const request&, responder& out) -> awaitable<void> {
        const response head;
        (void)co_await out.begin(head);
        (void)co_await out.write("a\nb");
        (void)co_await out.write("c\n");
        (void)co_await out.finish();
    }};
    const auto lines =
        peers.wait([](client& http, std::string address) -> awaitable<std::vector<std::string>> {
            const auto deadline = steady_clock::now() + test_timeout;
            const request message;
            const call_options options{.deadline = deadline};
            auto stream = co_await http.open(std::move(address), message, options);
            std::vector<std::string> read;
            auto line = co_await stream.value()->next_line(deadline);
            while (line.value()) {
                read.push_back(*line.value());
                line = co_await stream.value()->next_line(deadline);
            }
            co_return read;
        }(peers.http_client(), peers.address()));
    REQUIRE(lines == std::vector<std::string>{"a", "bc"});
}

TEST_CASE("a truncated stream gives incomplete_answer") {
    fixture peers{[](const request&, responder& out) -> awaitable<void> {
        const response head;
        (void)co_await out.begin(head);
        (void)co_await out.write("a\n");
    }};
    const auto failure = peers.wait([](client& http, std::string address) -> awaitable<error> {
        const auto deadline = steady_clock::now() + test_timeout;
        const request message;
        const call_options options{.deadline = deadline};
        auto stream = co_await http.open(std::move(address), message, options);
        auto line = co_await stream.value()->next_line(deadline);
        while (line) {
            line = co_await stream.value()->next_line(deadline);
        }
        co_return line.error();
    }(peers.http_client(), peers.address()));
    REQUIRE(failure.kind == error_kind::incomplete_answer);
}

TEST_CASE("a cancelled call returns immediately and closes its connection") {
    std::promise<void> arrived;
    std::promise<void> closed;
    fixture peers{[&](const request&, responder& out) -> awaitable<void> {
        out.on_peer_closed([&] { closed.set_value(); });
        arrived.set_value();
        asio::steady_timer timer{co_await asio::this_coro::executor, test_timeout};
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }};
    cancel_source cancel;
    std::thread canceller{[&] {
        arrived.get_future().wait();
        peers.wait([](cancel_source& source) -> awaitable<void> {
            source.cancel();
            co_return;
        }(cancel));
    }};
    const auto answer =
        peers.call({}, {.deadline = steady_clock::now() + test_timeout, .cancel = &cancel});
    canceller.join();
    REQUIRE_FALSE(answer);
    REQUIRE(answer.error().kind == error_kind::cancelled);
    REQUIRE(closed.get_future().wait_for(test_timeout) == std::future_status::ready);
}

TEST_CASE("a server that stops accepting completes the responses in progress") {
    std::promise<void> arrived;
    std::promise<void> release;
    auto released = release.get_future().share();
    fixture peers{[&](const request&, responder& out) -> awaitable<void> {
        arrived.set_value();
        asio::steady_timer timer{co_await asio::this_coro::executor};
        while (released.wait_for(seconds{0}) != std::future_status::ready) {
            timer.expires_after(milliseconds{1});
            co_await timer.async_wait(asio::use_awaitable);
        }
        (void)co_await out.send(make_json_response(200, "whole"));
    }};
    std::thread stopper{[&] {
        arrived.get_future().wait();
        peers.http_server().stop_accepting();
        release.set_value();
    }};
    const auto answer = peers.call({});
    stopper.join();
    REQUIRE(answer);
    REQUIRE(answer.value().body == "whole");
    const auto refused = peers.call({});
    REQUIRE_FALSE(refused);
    REQUIRE(refused.error().kind == error_kind::connect_failed);
}

TEST_CASE("request targets are split and percent-decoded") {
    REQUIRE(path_segments("/v1/a%20b//c?x=1") == std::vector<std::string>{"v1", "a b", "c"});
    REQUIRE(query_value("/p?a=1&b=x%2Fy", "b") == "x/y");
    REQUIRE(query_value("/p", "b").empty());
}
