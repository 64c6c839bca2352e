// Corrupted, truncated and oversized messages, sent to the server and to the client.
#include "base/random.hpp"
#include "http/client.hpp"
#include "http/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr seconds test_timeout{20};
constexpr unsigned rounds = 300;              // messages per seed
constexpr std::size_t largest_token = 40'000; // exceeds the header limit

const std::string valid_request = "POST /path?query=1 HTTP/1.1\r\nHost: any.example\r\n"
                                  "Content-Length: 4\r\nX-Number: 17\r\n\r\nbody";
const std::string valid_response = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                   "Content-Length: 4\r\nX-Number: 17\r\n\r\nbody";
const std::string valid_stream = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n"
                                 "4\r\nbody\r\n0\r\n\r\n";

std::string corrupt(std::string text, random_source& random) {
    static const std::vector<std::string> tokens{"\r\n",
                                                 "\r\n\r\n",
                                                 "\n",
                                                 ":",
                                                 " ",
                                                 std::string(1, '\0'),
                                                 "Content-Length: 99999999999999999999\r\n",
                                                 "Content-Length: -1\r\n",
                                                 "Transfer-Encoding: chunked\r\n",
                                                 "Connection: close\r\n",
                                                 "HTTP/9.9",
                                                 "ffffffffffffffffff\r\n",
                                                 std::string(largest_token, 'x')};
    for (auto edits = 1 + random() % 4; edits > 0; --edits) {
        const auto at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.insert(at, tokens[random() % tokens.size()]);
            break;
        case 2:
            text.erase(at, 1 + random() % 20);
            break;
        default:
            text.resize(at + 1);
        }
        if (text.empty()) {
            text = " ";
        }
    }
    return text;
}

auto into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

// Sends bytes, shuts down its sending side and reads until the peer closes.
awaitable<void> send_and_drain(tcp::endpoint to, std::string bytes) {
    boost::system::error_code failure;
    tcp::socket socket{co_await asio::this_coro::executor};
    co_await socket.async_connect(to, into(failure));
    co_await asio::async_write(socket, asio::buffer(bytes), into(failure));
    socket.shutdown(tcp::socket::shutdown_send, failure);
    std::string ignored;
    co_await asio::async_read(socket, asio::dynamic_buffer(ignored), into(failure));
}

awaitable<void> answer_once(tcp::socket socket, std::string bytes) {
    boost::system::error_code failure;
    std::array<char, 1'024> ignored{};
    (void)co_await socket.async_read_some(asio::buffer(ignored), into(failure));
    co_await asio::async_write(socket, asio::buffer(bytes), into(failure));
    socket.shutdown(tcp::socket::shutdown_send, failure);
    std::string rest;
    co_await asio::async_read(socket, asio::dynamic_buffer(rest), into(failure));
}

// Sends the same bytes on each connection, whatever was requested, and closes it.
awaitable<void> answer_with(tcp::acceptor& acceptor, const std::string& bytes) {
    for (;;) {
        boost::system::error_code failure;
        auto socket = co_await acceptor.async_accept(into(failure));
        if (failure) {
            co_return;
        }
        asio::co_spawn(acceptor.get_executor(), answer_once(std::move(socket), bytes),
                       asio::detached);
    }
}

template <class T>
awaitable<void> store_result(awaitable<T> operation, std::optional<T>& stored,
                             asio::io_context& io) {
    stored.emplace(co_await std::move(operation));
    io.stop();
}

// Runs an operation to completion on this thread.
template <class T>
T run(asio::io_context& io, awaitable<T> operation) {
    std::optional<T> stored;
    asio::co_spawn(io, store_result(std::move(operation), stored, io), asio::detached);
    io.restart();
    io.run();
    REQUIRE(stored);
    return std::move(*stored);
}

awaitable<bool> done(awaitable<void> operation) {
    co_await std::move(operation);
    co_return true;
}

} // namespace

TEST_CASE("a server rejects corrupted requests and keeps serving", "[fuzz]") {
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    random_source random{seed};
    asio::io_context io{1};
    auto listening = server::listen({io.get_executor()}, "127.0.0.1:0", {},
                                    [](const request& incoming, responder& out) -> awaitable<void> {
                                        auto answer = make_json_response(200, incoming.body);
                                        (void)co_await out.send(std::move(answer));
                                    });
    REQUIRE(listening);
    const auto port = listening.value()->port();
    const tcp::endpoint server_endpoint{asio::ip::address_v4::loopback(), port};
    const auto valid_client = client::make(io.get_executor());
    for (unsigned round = 0; round < rounds; ++round) {
        const auto bytes = corrupt(valid_request, random);
        CAPTURE(round, bytes);
        REQUIRE(run(io, done(send_and_drain(server_endpoint, bytes))));
        request valid{.method = "POST", .body = "sound"};
        const call_options options{.deadline = steady_clock::now() + test_timeout};
        const auto answer = run(
            io, valid_client->call("127.0.0.1:" + std::to_string(port), std::move(valid), options));
        REQUIRE(answer);
        REQUIRE(answer.value().body == "sound");
    }
}

TEST_CASE("a client reads or rejects corrupted responses and remains usable", "[fuzz]") {
    const auto seed = GENERATE(1U, 2U, 3U);
    const auto* const valid = GENERATE(&valid_response, &valid_stream);
    INFO("seed " << seed);
    random_source random{seed};
    asio::io_context io{1};
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    std::string bytes;
    asio::co_spawn(io, answer_with(acceptor, bytes), asio::detached);
    const auto tested_client = client::make(io.get_executor());
    const auto call = [&] {
        const call_options options{.deadline = steady_clock::now() + test_timeout,
                                   .body_limit = 1U << 16U};
        return run(io, tested_client->call(address, request{}, options));
    };
    for (unsigned round = 0; round < rounds; ++round) {
        bytes = corrupt(*valid, random);
        CAPTURE(round, bytes);
        const auto read = call();
        if (read) {
            REQUIRE(read.value().body.size() <= (1U << 16U));
        }
        bytes = *valid;
        const auto answer = call();
        REQUIRE(answer);
        REQUIRE(answer.value().body == "body");
    }
}
