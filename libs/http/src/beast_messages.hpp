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

beast::http::request<beast::http::string_body> to_beast(request message, std::string_view host);
beast::http::response<beast::http::string_body> to_beast(response message, bool keep_alive);

} // namespace boragefront::http
