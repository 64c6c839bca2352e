/// \file
/// Asynchronous transfer of framed messages, for callers and answerers.
#pragma once

#include "base/error.hpp"
#include "base/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace boragefront::wire {

/// Completion token that stores an operation's error in `failure` instead of throwing.
inline auto into(boost::system::error_code& failure) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}

/// Receives the length of the next message, within the stream's time-out.
/// \param failure set if the connection fails
/// \returns the errors of `read_length`
boost::asio::awaitable<result<std::size_t>> receive_length(boost::beast::tcp_stream& stream,
                                                           boost::system::error_code& failure);

/// Receives a message of this length, within the stream's time-out.
/// \param failure set if the connection fails
boost::asio::awaitable<std::string> receive_message(boost::beast::tcp_stream& stream,
                                                    std::size_t length,
                                                    boost::system::error_code& failure);

/// Receives a message of this length while parts of it keep arriving.
/// \param between_parts longest time from one part to the next.
/// \param deadline of the whole message.
/// \param failure set if the connection fails or a time is exceeded.
/// \returns what has arrived.
boost::asio::awaitable<std::string> receive_in_parts(boost::beast::tcp_stream& stream,
                                                     std::size_t length, milliseconds between_parts,
                                                     time_point deadline,
                                                     boost::system::error_code& failure);

/// Sends a message while the peer keeps receiving parts of it.
/// \param between_parts longest time from one part to the next.
/// \param failure set if the connection fails or the time is exceeded.
boost::asio::awaitable<void> send_in_parts(boost::beast::tcp_stream& stream,
                                           std::string_view message, milliseconds between_parts,
                                           boost::system::error_code& failure);

} // namespace boragefront::wire
