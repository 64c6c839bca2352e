/// \file
/// An HTTP/1.1 client with a connection pool. A client is used from one single-threaded executor.
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
#include <optional>
#include <string>

namespace boragefront::http {

template <class T>
using awaitable = boost::asio::awaitable<T>;

/// Cancels one call by closing its connection. Must outlive the call.
class cancel_source {
public:
    /// Ends the call with `cancelled`; has no effect once the call has ended. Idempotent.
    void cancel();
    bool cancelled() const { return cancelled_; }

    /// Used by the client to set the action on cancel. Runs it at once if already cancelled.
    void arm(std::function<void()> close);
    void disarm() { close_ = nullptr; }

private:
    bool cancelled_{false};
    std::function<void()> close_;
};

/// A peer that sends a byte now and then must not hold a call for ever.
inline constexpr seconds max_transfer_time{30};

/// Which connection a call uses.
enum class connection_use : std::uint8_t {
    pooled,     ///< an idle one if there is any; kept afterwards
    fresh,      ///< a new one; kept afterwards
    single_use, ///< a new one, closed after the response, which does not identify its call
};

struct call_options {
    time_point deadline; ///< for the whole call, including the connect
    /// If set, `deadline` applies until the response begins. From then on this is the longest time
    /// from one part of its body to the next, and the body takes at most `max_transfer_time`.
    std::optional<milliseconds> transfer_timeout{};
    milliseconds connect_timeout{500}; ///< for a new connection; `deadline` applies if earlier
    connection_use connection{connection_use::pooled};
    milliseconds max_idle_time{30'000}; ///< do not reuse a connection that was idle longer
    cancel_source* cancel{nullptr};     ///< not owned; may be null
    /// Whether a response answers this request. Other responses are late ones to earlier requests
    /// on the connection; they are read and discarded. Empty: every response matches.
    std::function<bool(const response& head)> matches_request{};
    std::size_t body_limit{16U << 20U}; ///< a longer response fails with `too_large`
    /// Called now and then while no byte of the response has arrived, from `silent_at` on. Returns
    /// whether to end the call with `deadline_exceeded` before its deadline. May be empty.
    std::function<bool()> end_when_silent{};
    time_point silent_at{time_point::max()};
};

/// A response that is read incrementally. Destroying it before its end closes the connection.
class response_stream {
public:
    response_stream() = default;
    response_stream(const response_stream&) = delete;
    response_stream& operator=(const response_stream&) = delete;
    virtual ~response_stream() = default;

    /// Status and headers.
    virtual const response& head() const = 0;

    /// Whether the connection served earlier calls. If so, a response without a request ID may be a
    /// late one to any of them.
    virtual bool on_reused_connection() const = 0;

    /// Whether the response states where its body ends. Otherwise the body ends with the
    /// connection, also if the peer crashed.
    virtual bool has_explicit_end() const = 0;

    /// Waits for more of the response without ending it. Bytes need not complete an event or line.
    /// \returns whether bytes or the end of the response can be read; false once `until` has
    /// passed.
    virtual awaitable<bool> wait_for_bytes(time_point until) = 0;

    /// The next line of the body without its newline; `std::nullopt` at the body's explicit end.
    /// \returns `incomplete_answer` if the connection ends first, `deadline_exceeded` on time-out,
    /// `too_large` for a line over the length limit.
    virtual awaitable<result<std::optional<std::string>>> next_line(time_point deadline) = 0;

    /// Bytes of the body as they arrive; `std::nullopt` at its explicit end. \returns the errors of
    /// `next_line`.
    virtual awaitable<result<std::optional<std::string>>> next_bytes(time_point deadline) = 0;

    /// The rest of the body. \returns the errors of `next_line`.
    virtual awaitable<result<std::string>> read_rest(time_point deadline) = 0;
};

/// Errors of calls: `connect_failed` (nothing was sent, ran=no); `connection_lost`,
/// `incomplete_answer`, `deadline_exceeded`, `cancelled`, `too_large` (ran=unknown once data
/// may have been sent, else ran=no). The client never retries a request.
///
/// A faulty peer may send an unlimited number of bytes. The head, interim responses, chunk headers
/// and trailers, responses to other requests and the body each have a limit; exceeding one ends the
/// call and closes the connection. All responses that are being read share a budget of memory; one
/// that exceeds it fails with `too_large`.
class client {
public:
    /// \param memory for responses that are being read; must outlive the client and its streams.
    /// Null: the client has a budget of its own
    static std::unique_ptr<client> make(boost::asio::any_io_executor executor,
                                        byte_budget* memory = nullptr);

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    virtual ~client() = default;

    /// Sends a request and reads the whole response.
    /// \param address "ip:port"
    virtual awaitable<result<response>> call(std::string address, request message,
                                             call_options options) = 0;

    /// Sends a request and reads the head of the response.
    virtual awaitable<result<std::unique_ptr<response_stream>>>
    open(std::string address, request message, call_options options) = 0;

    /// Closes the idle connections to an address, for example because its peer no longer responds.
    virtual void close_idle_connections(const std::string& address) = 0;
};

} // namespace boragefront::http
