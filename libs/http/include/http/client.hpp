/// \file
/// An HTTP/1.1 client with a pool of connections. One client serves one single-threaded executor.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"
#include "http/message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boragefront::http {

template <class T>
using awaitable = boost::asio::awaitable<T>;

/// Cancels one call by closing its connection. Must outlive the call.
class cancel_source {
public:
    /// Ends the call with `cancelled`; does nothing if it has ended. Idempotent.
    void cancel();
    bool cancelled() const { return cancelled_; }

    /// Used by the client: what to do on cancel. Runs at once if already cancelled.
    void arm(std::function<void()> close);
    void disarm() { close_ = nullptr; }

private:
    bool cancelled_{false};
    std::function<void()> close_;
};

struct call_options {
    time_point deadline;               ///< for the whole call, connecting included
    milliseconds connect_timeout{500}; ///< for a new connection, if sooner than `deadline`
    bool fresh_connection{false};      ///< take no connection from the pool
    milliseconds idle_limit{30'000};   ///< take no connection that was idle for longer
    cancel_source* cancel{nullptr};    ///< not owned; may be null
    /// Tells an answer to this request from a late one to an earlier request on the connection,
    /// which is read and dropped. Empty: every answer belongs.
    std::function<bool(const response& head)> belongs{};
    std::size_t body_limit{16U << 20U}; ///< a longer answer is `too_large`
};

/// An answer read piece by piece. Destroying it before its end closes the connection.
class response_stream {
public:
    response_stream() = default;
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    virtual ~response_stream() = default;

    /// Status and headers.
    virtual const response& head() const = 0;

    /// Whether the connection had served other calls: then an answer that names no request may be
    /// a late one to any of them.
    virtual bool on_reused_connection() const = 0;

    /// The next line of the body without its newline; nothing at the body's explicit end.
    /// \returns `incomplete_answer` if the connection ends first, `deadline_exceeded` on time-out,
    /// `too_large` for a line without an end.
    virtual awaitable<result<std::optional<std::string>>> next_line(time_point deadline) = 0;

    /// Bytes of the body as they arrive; nothing at its explicit end. \returns errors as
    /// `next_line`.
    virtual awaitable<result<std::optional<std::string>>> next_bytes(time_point deadline) = 0;

    /// The rest of the body. \returns errors as `next_line`.
    virtual awaitable<result<std::string>> read_rest(time_point deadline) = 0;
};

/// Errors of calls: `connect_failed` (nothing was sent, ran=no); `connection_lost`,
/// `incomplete_answer`, `deadline_exceeded`, `cancelled`, `too_large` (ran=unknown once anything
/// may have been sent, else ran=no). The client itself never sends a request twice.
///
/// A peer in trouble may send bytes without end. Its head, its interim answers, its chunk headers
/// and trailers, answers to other requests and the body are each bounded; what goes over a bound
/// ends the call and closes the connection.
class client {
public:
    static std::unique_ptr<client> make(boost::asio::any_io_executor executor);

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    /// Sends a request and reads the whole answer.
    /// \param address "ip:port"
    virtual awaitable<result<response>> call(std::string address, request message,
                                             call_options options) = 0;

    /// Sends a request and reads the head of the answer.
    virtual awaitable<result<std::unique_ptr<response_stream>>>
    open(std::string address, request message, call_options options) = 0;

    /// Closes the idle connections to an address, as when they have gone silent.
    virtual void drop_idle(const std::string& address) = 0;
};

} // namespace boragefront::http
