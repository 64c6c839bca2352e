/// \file
/// Conversion between the library's messages and Beast's.
#pragma once

#include "base/tcp.hpp"
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

/// Completion token that stores an operation's error in `failure` instead of throwing.
inline auto awaitable_into(boost::system::error_code& failure) {
    return asio::redirect_error(asio::use_awaitable, failure);
}

void copy_headers(const header_list& from, beast::http::fields& to);

header_list read_headers(const beast::http::fields& from);

/// Whether this library decodes the framing of a message's body: HTTP/1.1, and no transfer coding
/// but a single "chunked". Beast ignores other codings, so the end of the body is not known
/// (RFC 9112, 6.1 and 6.3).
/// \param version of HTTP, as 11 for 1.1.
bool has_supported_framing(const beast::http::fields& headers, unsigned version);

/// Whether a line of a message's head continues the line before it by beginning with a blank
/// (RFC 9112, 5.2). Beast joins such lines and leaves no trace of it.
/// \param received bytes of the message, from the start of a line of its head; the head may be
/// incomplete, and a body may follow.
/// \returns false also if that is not known yet.
bool has_folded_line(std::string_view received);

beast::http::request<beast::http::string_body> to_beast(request message, std::string_view host);
beast::http::response<beast::http::string_body> to_beast(response message, bool keep_alive);

} // namespace boragefront::http
