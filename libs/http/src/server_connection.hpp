/// \file
/// One connection of the server.
#pragma once

#include "beast_messages.hpp"
#include "http/server.hpp"

#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

namespace boragefront::http {

/// What the server and its connections share; it outlives the server object while answers go on.
struct server_shared {
    server_limits limits() const {
        const std::scoped_lock lock{mutex};
        return current_limits;
    }

    mutable std::mutex mutex;
    server_limits current_limits;
    handler handle;
    std::atomic<std::size_t> open_requests{0};
    std::atomic<bool> announcing_close{false};
    std::atomic<bool> stopping{false};

    bool may_keep_connections() const { return !stopping && !announcing_close; }
};

/// Reads requests in turn and answers each before the next.
class server_connection : public std::enable_shared_from_this<server_connection>, public responder {
public:
    server_connection(std::shared_ptr<server_shared> shared, tcp::socket socket)
        : shared_{std::move(shared)}, stream_{std::move(socket)} {}

    /// Serves until the peer closes, an answer ends the connection, or the server stops.
    awaitable<void> run();

    /// Closes the connection unless a request is in progress. Any thread.
    void close_if_idle();

    /// Closes the connection. Any thread.
    void close_now();

    awaitable<result<void>> send(response answer) override;

    awaitable<result<void>> begin(response head) override;

    awaitable<result<void>> write(std::string_view data) override;

    awaitable<result<void>> finish() override;

    void on_peer_closed(std::function<void()> action) override;

private:
    using parser_type = beast::http::request_parser<beast::http::string_body>;

    // Returns whether the connection may serve another request.
    awaitable<bool> serve_one();

    // Waits for a request to begin. Returns whether one did.
    awaitable<bool> first_bytes();

    awaitable<bool> answer(parser_type& parser);

    awaitable<void> handle_safely(const request& incoming);

    awaitable<void> refuse(const boost::system::error_code& failure);

    awaitable<void> send_problem(const error& problem);

    // Shared with the watch, which clears its slot only after it has noticed the signal.
    std::shared_ptr<asio::cancellation_signal> watch_for_close();

    // Waits until the peer closes; ends early when it sends more (a pipelined request).
    static awaitable<void> watch(std::shared_ptr<server_connection> self,
                                 std::shared_ptr<asio::cancellation_signal> /*kept alive*/);

    void notice_peer_closed();

    void close();

    std::shared_ptr<server_shared> shared_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::function<void()> on_peer_closed_;
    bool serving_{false};
    bool keep_alive_{false};
    bool answered_{false};
    bool complete_{false};
    bool peer_closed_{false};
};

} // namespace boragefront::http
