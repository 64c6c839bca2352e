#include "beast_messages.hpp"

#include "base/ids.hpp"

#include <limits>
#include <netinet/tcp.h>

namespace boragefront::http {
namespace {
constexpr unsigned http_1_1 = 11;

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

void detect_dead_peer(tcp::socket& socket) {
    // Best effort: without these options only the time-outs of calls detect a dead peer.
    boost::system::error_code unsupported;
    socket.set_option(tcp::no_delay{true}, unsupported);
    socket.set_option(asio::socket_base::keep_alive{true}, unsupported);
    socket.set_option(keepalive_idle{probe_after_idle_s}, unsupported);
    socket.set_option(keepalive_interval{probe_interval_s}, unsupported);
    socket.set_option(keepalive_count{probes_unanswered}, unsupported);
    socket.set_option(user_timeout{unacknowledged_limit_ms}, unsupported);
}

void copy_headers(const header_list& from, beast::http::fields& to) {
    for (const auto& entry : from) {
        to.insert(entry.name, entry.value);
    }
}

header_list read_headers(const beast::http::fields& from) {
    header_list headers;
    for (const auto& field : from) {
        headers.add(std::string_view{field.name_string().data(), field.name_string().size()},
                    std::string{field.value()});
    }
    return headers;
}

beast::http::request<beast::http::string_body> to_beast(request message, std::string_view host) {
    beast::http::request<beast::http::string_body> out;
    out.method_string(message.method);
    out.target(message.target);
    out.version(http_1_1);
    copy_headers(message.headers, out);
    if (out.count(beast::http::field::host) == 0) {
        out.set(beast::http::field::host, host);
    }
    out.body() = std::move(message.body);
    out.prepare_payload();
    return out;
}

beast::http::response<beast::http::string_body> to_beast(response message, bool keep_alive) {
    beast::http::response<beast::http::string_body> out;
    out.result(message.status);
    out.version(http_1_1);
    copy_headers(message.headers, out);
    out.keep_alive(keep_alive);
    out.body() = std::move(message.body);
    out.prepare_payload();
    return out;
}

} // namespace boragefront::http
