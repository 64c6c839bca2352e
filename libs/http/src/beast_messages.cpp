#include "beast_messages.hpp"

#include "base/ids.hpp"

#include <limits>

namespace boragefront::http {
namespace {
constexpr unsigned http_1_1 = 11;
}

result<tcp::endpoint> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    const auto invalid = [&] {
        return make_error(error_kind::bad_request,
                          "found \"" + std::string{text} + "\", allowed is ip:port");
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

void copy_headers(const header_list& from, beast::http::fields& to) {
    for (const auto& entry : from) {
        to.set(entry.name, entry.value);
    }
}

header_list read_headers(const beast::http::fields& from) {
    header_list headers;
    for (const auto& field : from) {
        headers.set(std::string_view{field.name_string().data(), field.name_string().size()},
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
    out.set(beast::http::field::host, host);
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
