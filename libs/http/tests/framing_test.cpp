// Requests whose framing two servers could read differently.
#include "http/server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <mutex>
#include <thread>

using namespace boragefront;
using namespace boragefront::http;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// A server on a background thread that keeps what its handler is called with.
class recording_server {
public:
    recording_server() {
        auto made = server::listen(
            {io_.get_executor()}, "127.0.0.1:0", {},
            [this](const request& incoming, responder& out) { return record(incoming, out); });
        REQUIRE(made);
        server_ = std::move(made.value());
        thread_ = std::thread{[this] { io_.run(); }};
    }
    ~recording_server() {
        io_.stop();
        thread_.join();
    }
    recording_server(const recording_server&) = delete;
    recording_server& operator=(const recording_server&) = delete;

    std::vector<request> handled() {
        const std::scoped_lock lock{mutex_};
        return handled_;
    }

    // Sends bytes on a connection of their own. Returns all that the server sends until it closes.
    std::string exchange(const std::string& bytes) {
        asio::io_context io;
        tcp::socket socket{io};
        socket.connect({asio::ip::make_address("127.0.0.1"), server_->port()});
        asio::write(socket, asio::buffer(bytes));
        socket.shutdown(tcp::socket::shutdown_send);
        std::string received;
        boost::system::error_code end;
        asio::read(socket, asio::dynamic_buffer(received), end);
        return received;
    }

    server_statistics statistics() const { return server_->statistics(); }

private:
    awaitable<void> record(const request& incoming, responder& out) {
        {
            const std::scoped_lock lock{mutex_};
            handled_.push_back(incoming);
        }
        (void)co_await out.send(make_json_response(200, ""));
    }

    asio::io_context io_{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard_{io_.get_executor()};
    std::unique_ptr<server> server_;
    std::thread thread_;
    std::mutex mutex_;
    std::vector<request> handled_;
};

const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
const std::string hidden_length = std::to_string(hidden.size());

// The size line before a chunk of fewer than 256 bytes.
std::string chunk_header(const std::string& text) {
    constexpr std::string_view digits = "0123456789abcdef";
    return {digits[text.size() / 16], digits[text.size() % 16], '\r', '\n'};
}

} // namespace

// Guards against a request that is run although it is part of the body of another one, and against
// a body that is passed on in a coding that nobody names any more.
TEST_CASE("a body in a transfer coding other than chunked is rejected and its content is not run") {
    const std::string framing =
        GENERATE(as<std::string>{}, "Transfer-Encoding: gzip", "Transfer-Encoding: identity",
                 "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: gzip, chunked",
                 "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: chunked;q=1",
                 "Transfer-Encoding: xchunked", "Transfer-Encoding: \"chunked\"",
                 "Transfer-Encoding:", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
                 "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
                 "Transfer-Encoding: gzip\r\nContent-Length: 0",
                 "Content-Length: 0\r\nTransfer-Encoding: gzip",
                 "Content-Length: 0\r\nTransfer-Encoding: chunked",
                 "Transfer-Encoding: chunked\r\nContent-Length: 0");
    const bool in_chunks = GENERATE(false, true);
    INFO(framing << (in_chunks ? ", in chunks" : ""));
    recording_server peer;
    const std::string head = "POST /visible HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n";
    const auto body = in_chunks ? chunk_header(hidden) + hidden + "\r\n0\r\n\r\n" : hidden;
    const auto answer = peer.exchange(head + body);
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(peer.handled().empty());
    CHECK(peer.statistics().refused_malformed == 1);
}

// Guards against the same in HTTP/1.0, which has no transfer codings.
TEST_CASE("a transfer coding in HTTP/1.0 is rejected") {
    recording_server peer;
    const auto answer =
        peer.exchange("POST /visible HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      chunk_header(hidden) + hidden + "\r\n0\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK(peer.handled().empty());
}

// Guards against a key, an id or a time limit that is taken from the end of a body.
TEST_CASE("fields after the last chunk are not headers") {
    recording_server peer;
    const auto answer = peer.exchange(
        "POST / HTTP/1.1\r\nHost: a\r\nBefore: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\nBefore: 2\r\nAfter: 3\r\n\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    REQUIRE(peer.handled().size() == 1);
    const auto handled = peer.handled().front();
    CHECK(handled.body == "body");
    CHECK(handled.headers.get("Before") == "1");
    CHECK_FALSE(handled.headers.has("After"));
}

TEST_CASE("a request inside a body in chunks or of a stated length stays a body") {
    const bool in_chunks = GENERATE(false, true);
    const std::string framing =
        in_chunks ? "Transfer-Encoding: Chunked" : "Content-Length: " + hidden_length;
    recording_server peer;
    const auto answer =
        peer.exchange("POST /visible HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n" +
                      (in_chunks ? chunk_header(hidden) + hidden + "\r\n0\r\n\r\n" : hidden));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    REQUIRE(peer.handled().size() == 1);
    CHECK(peer.handled().front().target == "/visible");
    CHECK(peer.handled().front().body == hidden);
}
