#include "transfer.hpp"

#include "req_rep_framing.hpp"

#include <boost/asio/read.hpp>

#include <algorithm>
#include <array>

namespace boragefront::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;

asio::awaitable<result<std::size_t>> receive_length(beast::tcp_stream& stream,
                                                    boost::system::error_code& failure) {
    std::array<std::uint8_t, length_bytes> head{};
    co_await asio::async_read(stream, asio::buffer(head), into(failure));
    co_return read_length(head);
}

asio::awaitable<std::string> receive_message(beast::tcp_stream& stream, std::size_t length,
                                             boost::system::error_code& failure) {
    // The buffer grows as bytes arrive, because the peer may send fewer than it announced.
    std::string message;
    message.reserve(std::min(length, typical_message_bytes));
    co_await asio::async_read(stream, asio::dynamic_buffer(message, length),
                              asio::transfer_exactly(length), into(failure));
    co_return message;
}

} // namespace boragefront::wire
