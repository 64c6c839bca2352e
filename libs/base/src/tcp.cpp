#include "base/tcp.hpp"

#include "base/ids.hpp"

#include <limits>
#include <netinet/tcp.h>

namespace boragefront {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A peer may disappear without a reset. Two unanswered probes one second apart detect that within
// three seconds, the time after which machines that were partitioned count as reachable again.
constexpr int probe_after_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int probes_unanswered = 2;
constexpr int unacknowledged_limit_ms = 3'000;

using keepalive_idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keepalive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keepalive_count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// The outcome of a read that takes nothing and does not wait.
boost::system::error_code peek(tcp::socket& socket) {
    boost::system::error_code failure;
    char byte = 0;
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
    return failure;
}

} // namespace

result<tcp::endpoint> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    const auto invalid = [&] {
        return make_error(error_kind::bad_request,
                          "found \"" + std::string{text} + "\", expected ip:port");
    };
    if (colon == std::string_view::npos) {
        return invalid();
    }
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address(std::string{text.substr(0, colon)}, failure);
    const auto port = parse_number(text.substr(colon + 1));
    if (failure || !port || *port > std::numeric_limits<std::uint16_t>::max()) {
        return invalid();
    }
    return tcp::endpoint{ip, static_cast<std::uint16_t>(*port)};
}

void detect_dead_idle_peer(tcp::socket& socket) {
    // Best effort: without these options only the time-outs of calls detect a dead peer.
    boost::system::error_code unsupported;
    socket.set_option(tcp::no_delay{true}, unsupported);
    socket.set_option(asio::socket_base::keep_alive{true}, unsupported);
    socket.set_option(keepalive_idle{probe_after_idle_s}, unsupported);
    socket.set_option(keepalive_interval{probe_interval_s}, unsupported);
    socket.set_option(keepalive_count{probes_unanswered}, unsupported);
}

void detect_dead_peer(tcp::socket& socket) {
    detect_dead_idle_peer(socket);
    boost::system::error_code unsupported;
    socket.set_option(user_timeout{unacknowledged_limit_ms}, unsupported);
}

bool is_quiet(tcp::socket& socket) {
    return peek(socket) == asio::error::would_block;
}

bool is_closed_by_peer(tcp::socket& socket) {
    const auto failure = peek(socket);
    return failure && failure != asio::error::would_block;
}

result<tcp::acceptor> listen_on(const asio::any_io_executor& executor,
                                const tcp::endpoint& address) {
    tcp::acceptor acceptor{executor};
    boost::system::error_code failure;
    acceptor.open(address.protocol(), failure);
    if (!failure) {
        // On Linux this permits binding despite connections in TIME_WAIT, but not despite another
        // listening socket.
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failure);
        acceptor.bind(address, failure);
    }
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return make_error(error_kind::unavailable,
                          "cannot listen on " + address.address().to_string() + ':' +
                              std::to_string(address.port()) + ": " + failure.message());
    }
    return acceptor;
}

} // namespace boragefront
