/// \file
/// Conversion between our messages and Beast's, and addresses.
#pragma once

#include "base/error.hpp"
#include "http/message.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string_view>

namespace boragefront::http {

namespace beast = boost::beast;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Awaits an operation and keeps its failure instead of throwing it.
inline auto awaitable_into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

/// Parses "ip:port".
/// \returns `bad_request` if it is not an address with a port.
result<tcp::endpoint> parse_address(std::string_view text);

/// Sets a socket up so that a peer that vanished without a reset is noticed: probes while it is
/// idle, a bound on unacknowledged data while it is not. Also disables Nagle's algorithm.
void detect_dead_peer(tcp::socket& socket);

/// Copies our headers into a Beast message.
void copy_headers(const header_list& from, beast::http::fields& to);

/// Reads our headers out of a Beast message.
header_list read_headers(const beast::http::fields& from);

beast::http::request<beast::http::string_body> to_beast(request message, std::string_view host);
beast::http::response<beast::http::string_body> to_beast(response message, bool keep_alive);

} // namespace boragefront::http
