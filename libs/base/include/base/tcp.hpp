/// \file
/// Addresses and socket options of TCP connections.
#pragma once

#include "base/error.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace boragefront {

/// Parses "ip:port".
/// \returns `bad_request` if `text` is not an IP address with a port.
result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

/// Sets socket options that detect a peer that disappeared without a reset: keep-alive probes on an
/// idle connection, a time-out for unacknowledged data otherwise. That time-out also ends a
/// connection whose peer responds but has no room for data. Also disables Nagle's algorithm.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket);

/// The same without the time-out for unacknowledged data, for peers that may read late.
void detect_dead_idle_peer(boost::asio::ip::tcp::socket& socket);

/// Whether a connection is open and has nothing to read.
bool is_quiet(boost::asio::ip::tcp::socket& socket);

/// Whether the peer has closed a connection and everything that it sent was read.
bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

/// Opens an acceptor on an address that no other socket listens on.
/// \returns `unavailable` if the address cannot be bound.
result<boost::asio::ip::tcp::acceptor> listen_on(const boost::asio::any_io_executor& executor,
                                                 const boost::asio::ip::tcp::endpoint& address);

} // namespace boragefront
