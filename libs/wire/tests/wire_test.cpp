#include "wire/client.hpp"
#include "wire/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <nng/nng.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include <future>
#include <optional>
#include <thread>

using namespace boragefront;
using namespace boragefront::wire;
namespace asio = boost::asio;

namespace {

constexpr milliseconds long_enough{20'000};

class fixture {
public:
    explicit fixture(handler handle) {
        auto made = server::listen(io_.get_executor(), "127.0.0.1:0", std::move(handle), bytes_);
        REQUIRE(made);
        server_ = std::move(made.value());
        client_ = client::make(io_.get_executor(), bytes_);
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~fixture() {
        io_.stop();
        thread_.join();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    std::future<result<answer>> begin_call(const std::string& address, request message,
                                           milliseconds timeout,
                                           on_refused_connection refused = {}) {
        std::promise<result<answer>> promise;
        auto answered = promise.get_future();
        asio::co_spawn(
            io_,
            fulfil(*client_, address, std::move(message), timeout, refused, std::move(promise)),
            asio::detached);
        return answered;
    }
    result<answer> call(const std::string& address, request message,
                        milliseconds timeout = long_enough) {
        return begin_call(address, std::move(message), timeout).get();
    }
    result<answer> call(request message) { return call(server_->address(), std::move(message)); }
    const std::string address() const { return server_->address(); }

private:
    static asio::awaitable<void> fulfil(client& peer, std::string address, request message,
                                        milliseconds timeout, on_refused_connection refused,
                                        std::promise<result<answer>> promise) {
        auto answered =
            co_await peer.call(std::move(address), std::move(message), timeout, refused);
        promise.set_value(std::move(answered));
    }

    metrics_registry metrics_;
    byte_counters bytes_{metrics_.get_counter("sent"), metrics_.get_counter("received")};
    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<server> server_;
    std::unique_ptr<client> client_;
    std::thread thread_;
};

answer echo_status(const request& /*asked*/) {
    status_answer made;
    made.id = "entry-1";
    made.highest = 7;
    return made;
}

} // namespace

TEST_CASE("calls are answered") {
    fixture peers{echo_status};
    for (int i = 0; i < 3; ++i) {
        const auto answered = peers.call(status_request{});
        REQUIRE(answered);
        REQUIRE(std::get<status_answer>(answered.value()).highest == 7);
    }
}

TEST_CASE("nobody listening is an error within the timeout") {
    fixture peers{echo_status};
    const auto answered = peers.call("127.0.0.1:1", status_request{}, milliseconds{100});
    REQUIRE_FALSE(answered);
    REQUIRE(answered.error().kind == error_kind::deadline_exceeded);
}

// Guards against requests that wait for a dispatcher that has ended.
TEST_CASE("a call that is not to be retried fails at once if nobody listens") {
    fixture peers{[](const request&) -> answer { return pieces_done_answer{}; }};
    const auto begun = steady_clock::now();
    const auto answered = peers
                              .begin_call("127.0.0.1:1", pieces_done_request{}, long_enough,
                                          on_refused_connection::fail)
                              .get();
    REQUIRE_FALSE(answered);
    CHECK(answered.error().kind == error_kind::connect_failed);
    CHECK(steady_clock::now() - begun < long_enough / 2);
}

TEST_CASE("a malformed address is a bad request") {
    fixture peers{echo_status};
    const auto answered = peers.call("nowhere", status_request{}, milliseconds{100});
    REQUIRE_FALSE(answered);
}

TEST_CASE("an address in use is refused") {
    fixture peers{echo_status};
    metrics_registry metrics;
    asio::io_context io;
    const auto second = server::listen(io.get_executor(), peers.address(), echo_status,
                                       {metrics.get_counter("a"), metrics.get_counter("b")});
    REQUIRE_FALSE(second);
    REQUIRE(second.error().kind == error_kind::unavailable);
}

TEST_CASE("a peer that accepts and stays silent times out, and a later call connects anew") {
    fixture peers{echo_status};
    asio::io_context io;
    asio::ip::tcp::acceptor silent{io, {asio::ip::make_address("127.0.0.1"), 0}};
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    for (int i = 0; i < 2; ++i) {
        auto accepted = std::async(std::launch::async, [&] { return silent.accept(); });
        const auto answered = peers.call(address, status_request{}, milliseconds{200});
        REQUIRE_FALSE(answered);
        accepted.get();
    }
}

// Entries of earlier releases answer through nng during a rolling update.
TEST_CASE("a server that uses nng is called") {
    fixture peers{echo_status};
    nng_socket socket{};
    REQUIRE(nng_rep0_open(&socket) == 0);
    nng_listener listener{};
    REQUIRE(nng_listen(socket, "tcp://127.0.0.1:0", &listener, 0) == 0);
    int port = 0;
    REQUIRE(nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) == 0);
    std::thread answerer{[&] {
        nng_msg* received = nullptr;
        while (nng_recvmsg(socket, &received, 0) == 0) {
            const std::string_view body{static_cast<char*>(nng_msg_body(received)),
                                        nng_msg_len(received)};
            const auto read = decode_request(body);
            const auto reply =
                encode(read ? echo_status(read.value()) : answer{refusal{"unreadable"}});
            nng_msg_clear(received);
            nng_msg_append(received, reply.data(), reply.size());
            nng_sendmsg(socket, received, 0);
        }
    }};
    for (int i = 0; i < 3; ++i) {
        const auto answered = peers.call("127.0.0.1:" + std::to_string(port), status_request{});
        REQUIRE(answered);
        CHECK(std::get<status_answer>(answered.value()).highest == 7);
    }
    nng_close(socket);
    answerer.join();
}

TEST_CASE("a call to a peer that starts later is answered") {
    fixture peers{echo_status};
    asio::io_context io;
    std::optional<asio::ip::tcp::acceptor> reserved{
        std::in_place, io, asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    const auto address = "127.0.0.1:" + std::to_string(reserved->local_endpoint().port());
    reserved.reset();
    auto answered = peers.begin_call(address, status_request{}, long_enough);
    std::this_thread::sleep_for(milliseconds{150});
    metrics_registry metrics;
    auto late = server::listen(io.get_executor(), address, echo_status,
                               {metrics.get_counter("a"), metrics.get_counter("b")});
    REQUIRE(late);
    std::thread runner{[&] { io.run(); }};
    CHECK(answered.get());
    io.stop();
    runner.join();
}

// Closing a peer's socket waited for its library's threads, and blocked the event loop with it.
TEST_CASE("calls to silent peers leave the event loop free", "[invariant]") {
    fixture peers{echo_status};
    asio::io_context io;
    asio::ip::tcp::acceptor silent{io, {asio::ip::address_v4::loopback(), 0}};
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    constexpr std::size_t calls = 50;
    std::vector<std::future<result<answer>>> unanswered;
    unanswered.reserve(calls);
    for (std::size_t i = 0; i < calls; ++i) {
        unanswered.push_back(peers.begin_call(address, status_request{}, milliseconds{300}));
    }
    const auto began = steady_clock::now();
    for (std::size_t i = 0; i < calls; ++i) {
        REQUIRE(peers.call(status_request{}));
    }
    for (auto& one : unanswered) {
        CHECK_FALSE(one.get());
    }
    CHECK(steady_clock::now() - began < seconds{3});
}

// After a suspension, a queued call that had timed out was handled, and work started by its
// outdated state.
TEST_CASE("a call that was given up before it was read is not answered", "[invariant]") {
    asio::io_context io;
    metrics_registry metrics;
    int handled = 0;
    const auto suspended = server::listen(io.get_executor(), "127.0.0.1:0",
                                          [&](const request& asked) {
                                              ++handled;
                                              return echo_status(asked);
                                          },
                                          {metrics.get_counter("a"), metrics.get_counter("b")});
    REQUIRE(suspended);
    fixture peers{echo_status};
    const auto address = suspended.value()->address();
    REQUIRE_FALSE(peers.call(address, status_request{}, milliseconds{100}));
    io.run_for(milliseconds{200});
    CHECK(handled == 0);
    REQUIRE_FALSE(peers.call(address, status_request{}, milliseconds{100}));
    std::thread runner{[&] { io.run_for(seconds{2}); }};
    CHECK(peers.call(address, status_request{}, milliseconds{1'500}));
    runner.join();
    CHECK(handled == 1);
}

TEST_CASE("an idle connection whose peer has ended is not used again") {
    fixture peers{echo_status};
    asio::io_context io;
    metrics_registry metrics;
    const byte_counters bytes{metrics.get_counter("a"), metrics.get_counter("b")};
    auto first = server::listen(io.get_executor(), "127.0.0.1:0", echo_status, bytes);
    REQUIRE(first);
    const auto address = first.value()->address();
    std::thread runner{[&] { io.run(); }};
    REQUIRE(peers.call(address, status_request{}));
    io.stop();
    runner.join();
    first.value().reset();
    asio::io_context next_io;
    const auto second = server::listen(next_io.get_executor(), address, echo_status, bytes);
    REQUIRE(second);
    std::thread next_runner{[&] { next_io.run(); }};
    CHECK(peers.call(address, status_request{}));
    next_io.stop();
    next_runner.join();
}

TEST_CASE("a message longer than the limit, or without a call, ends its connection only") {
    fixture peers{echo_status};
    const auto address = peers.address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    const std::string greeting{"\0SP\0\0\x30\0\0", 8};
    const std::string too_long{"\x7f\0\0\0\0\0\0\0", 8};
    const std::string too_short{"\0\0\0\0\0\0\0\x02xx", 10};
    const std::string no_call{"\0\0\0\0\0\0\0\x04\0\0\0\x01", 12};
    for (const auto& bytes : {too_long, too_short, no_call}) {
        asio::io_context io;
        asio::ip::tcp::socket raw{io};
        raw.connect({asio::ip::address_v4::loopback(), port});
        asio::write(raw, asio::buffer(greeting + bytes));
        std::string received;
        boost::system::error_code end;
        asio::read(raw, asio::dynamic_buffer(received), end);
        CHECK(received.size() == greeting.size());
        CHECK(peers.call(status_request{}));
    }
}

TEST_CASE("garbage is refused, and the server goes on") {
    fixture peers{echo_status};
    asio::io_context io;
    asio::ip::tcp::socket raw{io};
    const auto address = peers.address();
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    raw.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(raw, asio::buffer(std::string(64, '\xff')));

    nng_socket socket{};
    REQUIRE(nng_req0_open(&socket) == 0);
    REQUIRE(nng_dial(socket, ("tcp://" + address).c_str(), nullptr, 0) == 0);
    std::string garbage(100, '\xee');
    REQUIRE(nng_send(socket, garbage.data(), garbage.size(), 0) == 0);
    nng_msg* received = nullptr;
    REQUIRE(nng_recvmsg(socket, &received, 0) == 0);
    const auto read =
        decode_answer({static_cast<char*>(nng_msg_body(received)), nng_msg_len(received)});
    nng_msg_free(received);
    nng_close(socket);
    REQUIRE(read);
    REQUIRE(std::holds_alternative<refusal>(read.value()));
    REQUIRE(peers.call(status_request{}));
}

// Answers the pattern of an entry that is frozen while all others go on asking it: the call that
// times out first replaces the connection of all the others.
TEST_CASE("many calls to a silent peer time out and end nothing else", "[invariant]") {
    fixture peers{echo_status};
    asio::io_context io;
    asio::ip::tcp::acceptor silent{io, {asio::ip::address_v4::loopback(), 0}};
    const auto address = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
    constexpr int rounds = 400;
    constexpr std::size_t at_once = 20;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::future<result<answer>>> answers;
        for (std::size_t i = 0; i < at_once; ++i) {
            const milliseconds timeout{1 + static_cast<std::int64_t>(i % 4)};
            answers.push_back(peers.begin_call(address, status_request{}, timeout));
        }
        for (auto& one : answers) {
            REQUIRE_FALSE(one.get());
        }
    }
    CHECK(peers.call(status_request{}));
}
