#include "transfer.hpp"

#include "req_rep_framing.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace boragefront::wire {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr std::size_t sent_part_bytes = 64U << 10U; // a fraction of a second on the slowest links

} // namespace

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

asio::awaitable<std::string> receive_in_parts(beast::tcp_stream& stream, std::size_t length,
                                              milliseconds between_parts, time_point deadline,
                                              boost::system::error_code& failure) {
    std::string message;
    while (message.size() < length && !failure) {
        const auto arrived = message.size();
        message.resize(std::min(length, arrived + typical_message_bytes));
        stream.expires_at(std::min(deadline, steady_clock::now() + between_parts));
        const auto size = co_await stream.async_read_some(
            asio::buffer(message.data() + arrived, message.size() - arrived), into(failure));
        message.resize(arrived + size);
    }
    co_return message;
}

asio::awaitable<void> send_in_parts(beast::tcp_stream& stream, std::string_view message,
                                    milliseconds between_parts,
                                    boost::system::error_code& failure) {
    while (!message.empty() && !failure) {
        const auto part = message.substr(0, sent_part_bytes);
        stream.expires_after(between_parts);
        co_await asio::async_write(stream, asio::buffer(part), into(failure));
        message.remove_prefix(part.size());
    }
}

} // namespace boragefront::wire
