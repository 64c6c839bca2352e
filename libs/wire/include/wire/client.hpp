/// \file
/// Calls other processes.
#pragma once

#include "base/error.hpp"
#include "base/metrics.hpp"
#include "base/time.hpp"
#include "wire/messages.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace boragefront::wire {

/// Bytes of messages, counted on both sides. The counters outlive their users.
struct byte_counters {
    counter& sent;
    counter& received;
};

/// What to do if the peer refuses the connection. One that is about to start accepts it soon; one
/// that has ended is best replaced at once.
enum class on_refused_connection : std::uint8_t { retry_until_timeout, fail };

/// A peer that sends a byte now and then must not hold a call for ever.
inline constexpr seconds max_long_call{30};

/// A client for one single-threaded executor. Each call has a connection of its own while it lasts;
/// connections on which a call was answered are kept for a few seconds for the next call.
class client {
public:
    static std::unique_ptr<client> make(boost::asio::any_io_executor executor, byte_counters bytes);

    client() = default;
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Closes the idle connections. Calls in progress go on. The executor's context must still
    /// exist.
    virtual ~client() = default;

    /// Sends a request and waits for its answer.
    /// \param address "ip:port"
    /// \param timeout for the whole call, connecting included.
    /// \returns `deadline_exceeded`, `connection_lost`, `connect_failed` (only with
    /// `on_refused_connection::fail`; nothing was sent), `bad_request` for a malformed address or
    /// answer, `unavailable` if the peer refused the request.
    virtual boost::asio::awaitable<result<answer>>
    call(std::string address, request message, milliseconds timeout,
         on_refused_connection refused = on_refused_connection::retry_until_timeout) = 0;

    /// The same for an answer that may be long for the bandwidth of the link.
    /// \param timeout until the answer begins, connecting included, and then from one part of it to
    /// the next. The whole call takes at most `max_long_call`.
    virtual boost::asio::awaitable<result<answer>>
    call_for_long_answer(std::string address, request message, milliseconds timeout) = 0;
};

} // namespace boragefront::wire
