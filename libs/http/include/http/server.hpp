/// \file
/// An HTTP/1.1 server whose handlers are coroutines.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace boragefront::http {

template <class T>
using awaitable = boost::asio::awaitable<T>;

/// Writes the one answer to a request: whole by `send`, or as a stream by `begin`, `write` and
/// `finish`. A stream that is never finished is cut, so that the peer sees that it is not whole.
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /// Sends a whole answer. \pre nothing was sent yet.
    virtual awaitable<result<void>> send(response answer) = 0;

    /// Sends the head of a chunked answer; `head.body` is ignored. \pre nothing was sent yet.
    virtual awaitable<result<void>> begin(response head) = 0;

    /// Sends one chunk. \pre `begin` succeeded and `data` is not empty.
    virtual awaitable<result<void>> write(std::string_view data) = 0;

    /// Ends a chunked answer.
    virtual awaitable<result<void>> finish() = 0;

    /// Calls `action` once, on the connection's executor, when the peer closes before the answer
    /// is whole. Replaces an earlier action.
    virtual void on_peer_closed(std::function<void()> action) = 0;
};

/// Answers one request. Runs on the connection's executor; must answer by the responder, or the
/// connection is cut.
using handler = std::function<awaitable<void>(const request&, responder&)>;

struct server_limits {
    std::size_t body_bytes{4U << 20U};
    std::size_t header_bytes{32U << 10U};
    milliseconds idle_timeout{60'000};    ///< a connection without a request is closed after this
    milliseconds header_timeout{30'000};  ///< from a header's first byte to its last
    milliseconds request_timeout{30'000}; ///< for a body to arrive, and for each write
};

/// Listens on one address until it is stopped. Requests over a limit get `too_large`, malformed
/// ones `bad_request`, both without reaching the handler.
class server {
public:
    /// Binds exclusively and begins to accept.
    /// \param address "ip:port"; port 0 picks a free one.
    /// \param executors single-threaded; connections are dealt to them in turn. \pre not empty.
    /// \returns `bad_request` for a malformed address, `unavailable` if it cannot be bound.
    static result<std::unique_ptr<server>>
    listen(std::vector<boost::asio::any_io_executor> executors, std::string_view address,
           server_limits limits, handler handle);

    virtual ~server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    virtual std::uint16_t port() const = 0;

    /// Requests of which a byte was read and that are not yet wholly answered.
    virtual std::size_t open_requests() const = 0;

    /// Replaces the limits; requests whose header is read later keep to the new ones.
    virtual void set_limits(server_limits limits) = 0;

    /// From now on each answer closes its connection and says so; connections without a request
    /// stay open, because a request may be on its way on them.
    virtual void announce_close() = 0;

    /// Closes the listening socket and idle connections; answers in progress go on, and their
    /// connections close after them. Requests that have arrived by then are still answered, also on
    /// connections that only the kernel has accepted.
    virtual void stop_accepting() = 0;

    /// Closes everything at once.
    virtual void close() = 0;

protected:
    server() = default;
};

} // namespace boragefront::http
