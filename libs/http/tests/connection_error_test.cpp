// Responses without a length whose connection is reset: the system reports the error of a
// connection to one operation only, and later ones see an orderly end.
#include "http/client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr seconds test_timeout{20};

// Sends the head and a part of a response without a length, and then resets the connection or ends
// it in an orderly way.
class breaking_peer {
public:
    explicit breaking_peer(bool resets)
        : thread_{[this, resets] {
              auto socket = acceptor_.accept();
              std::string request;
              asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
              asio::write(socket, asio::buffer(std::string{"HTTP/1.1 200 OK\r\n\r\npart\n"}));
              std::this_thread::sleep_for(milliseconds{50});
              socket.set_option(asio::socket_base::linger{resets, 0});
              socket.close(); // the destructor would end the connection in an orderly way
          }} {}
    ~breaking_peer() { thread_.join(); }
    breaking_peer(const breaking_peer&) = delete;
    breaking_peer& operator=(const breaking_peer&) = delete;

    std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    asio::io_context io_;
    tcp::acceptor acceptor_{io_, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    std::thread thread_;
};

enum class read_operation { wait, bytes, line, rest };

awaitable<void> apply(response_stream& stream, read_operation operation, time_point deadline) {
    switch (operation) {
    case read_operation::wait:
        (void)co_await stream.wait_for_bytes(deadline);
        break;
    case read_operation::bytes:
        (void)co_await stream.next_bytes(deadline);
        break;
    case read_operation::line:
        (void)co_await stream.next_line(deadline);
        break;
    case read_operation::rest:
        (void)co_await stream.read_rest(deadline);
        break;
    }
}

using read_outcome = result<std::optional<std::string>>;

// Opens a response, reads its first part, and applies `earlier` to what follows. `last` becomes the
// outcome of one more read.
awaitable<void> read_after(client& with, std::string address, std::vector<read_operation> earlier,
                           read_outcome& last) {
    call_options options;
    options.deadline = steady_clock::now() + test_timeout;
    request message;
    const auto opened = co_await with.open(std::move(address), std::move(message), options);
    auto& stream = *opened.value();
    last = co_await stream.next_bytes(options.deadline);
    for (const auto operation : earlier) {
        co_await apply(stream, operation, options.deadline);
    }
    last = co_await stream.next_bytes(options.deadline);
}

} // namespace

// Guards against a part of a response that passes as the whole, and against a read that waits until
// its deadline, after an earlier operation has met the error of the connection.
TEST_CASE("after a reset each read of a response without a length reports a lost connection",
          "[invariant]") {
    using enum read_operation;
    const auto earlier = GENERATE(values<std::vector<read_operation>>(
        {{}, {wait}, {wait, wait}, {bytes}, {wait, bytes}, {line}, {rest}, {bytes, wait, rest}}));
    const bool resets = GENERATE(true, false);
    CAPTURE(earlier.size(), resets);
    breaking_peer peer{resets};
    asio::io_context io;
    const auto with = client::make(io.get_executor());
    read_outcome last = make_error(error_kind::internal, "not read");
    asio::co_spawn(io, read_after(*with, peer.address(), earlier, last), asio::detached);
    io.run();
    if (resets) {
        REQUIRE_FALSE(last);
        CHECK(last.error().kind == error_kind::connection_lost);
    } else {
        REQUIRE(last);
        CHECK_FALSE(last.value());
    }
}
