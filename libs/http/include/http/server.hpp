/// \file
/// An HTTP/1.1 server whose handlers are coroutines.
#pragma once

#include "base/byte_budget.hpp"
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

/// Writes the response to one request: in full by `send`, or as a stream by `begin`, `write` and
/// `finish`. The connection of an unfinished stream is closed, so that the peer detects that the
/// body is incomplete.
class responder {
public:
    responder() = default;
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;
    virtual ~responder() = default;

    /// Sends a complete response. \pre nothing was sent yet.
    virtual awaitable<result<void>> send(response answer) = 0;

    /// Sends the head of a chunked response; `head.body` is ignored. \pre nothing was sent yet.
    virtual awaitable<result<void>> begin(response head) = 0;

    /// Sends one chunk. \pre `begin` succeeded and `data` is not empty.
    virtual awaitable<result<void>> write(std::string_view data) = 0;

    /// Ends a chunked response.
    virtual awaitable<result<void>> finish() = 0;

    /// Closes the connection at once, as if it had been lost.
    virtual void abandon() = 0;

    /// Calls `action` once, on the connection's executor, when the peer closes the connection
    /// before the response is complete. Replaces an earlier action. A peer that shuts down only its
    /// sending side counts as gone, too: the two cannot be told apart before something is written.
    virtual void on_peer_closed(std::function<void()> action) = 0;
};

/// Handles one request on the connection's executor. A handler that returns or throws without
/// having sent anything gives status 500 with an unknown outcome; the connection of a response that
/// it began and did not complete is closed.
using handler = std::function<awaitable<void>(const request&, responder&)>;

struct server_limits {
    std::size_t body_bytes{4U << 20U};
    std::size_t header_bytes{32U << 10U};
    milliseconds idle_timeout{60'000};    ///< before a connection without a request is closed
    milliseconds header_timeout{30'000};  ///< from a header's first byte to its last
    milliseconds request_timeout{30'000}; ///< to receive a body, and for each write
};

/// What became of connections and requests since the start of a server.
struct server_statistics {
    std::uint64_t closed_idle{0};        ///< connections closed at the idle time limit
    std::uint64_t served_at_limit{0};    ///< requests found as their connection was to be closed
    std::uint64_t refused_late{0};       ///< requests that did not arrive in time
    std::uint64_t refused_malformed{0};  ///< requests that could not be parsed
    std::uint64_t refused_for_memory{0}; ///< requests whose bodies exceeded the budget of memory
    std::uint64_t peer_closed{0};        ///< responses not completed as the peer closed first
    std::uint64_t write_failed{0};       ///< responses not completed as a write failed
    std::uint64_t handler_unfinished{0}; ///< handlers that sent nothing, or only part of a response
    std::uint64_t handler_threw{0};      ///< handlers that threw before their response was complete
};

/// Listens on one address until it is stopped. Requests over a limit are rejected with `too_large`
/// or `header_too_large`, malformed ones with `bad_request`, ones that don't arrive in time with
/// `request_timeout`, and ones whose body exceeds the budget of memory with `no_capacity`, without
/// calling the handler.
class server {
public:
    /// Binds exclusively and starts to accept connections.
    /// \param address "ip:port"; port 0 picks a free one.
    /// \param executors single-threaded; connections are assigned round-robin. \pre not empty.
    /// \param memory for the bodies of requests, from their arrival to the end of the response;
    /// must outlive the executors' work. Null: not limited
    /// \returns `bad_request` for a malformed address, `unavailable` if it cannot be bound.
    static result<std::unique_ptr<server>>
    listen(std::vector<boost::asio::any_io_executor> executors, std::string_view address,
           server_limits limits, handler handle, byte_budget* memory = nullptr);

    virtual ~server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    virtual std::uint16_t port() const = 0;

    /// Number of requests from their first byte to the end of their response.
    virtual std::size_t open_requests() const = 0;

    /// Number of accepted connections that are not closed. After `stop_accepting` it falls to 0
    /// once every request that has arrived is answered.
    virtual std::size_t open_connections() const = 0;

    virtual server_statistics statistics() const = 0;

    /// Replaces the limits; they apply to requests whose header is read later. A raised limit on
    /// idle time or on a header's time also applies to waits in progress. A lowered one applies to
    /// waits that begin some seconds later: callers learn of it later than this process.
    /// Thread-safe.
    virtual void set_limits(server_limits limits) = 0;

    /// From now on each response announces `Connection: close` and closes its connection. Idle
    /// connections stay open, because a request may already be in transit on them.
    virtual void announce_close() = 0;

    /// Closes the listening socket and idle connections. Responses in progress are completed before
    /// their connections close. Requests that have already arrived are still served, also on
    /// connections in the kernel's accept queue. These are accepted by the first executor soon
    /// after the call.
    virtual void stop_accepting() = 0;

    /// Closes the listening socket and all connections immediately.
    virtual void close() = 0;

protected:
    server() = default;
};

} // namespace boragefront::http
