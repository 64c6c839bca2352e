#include "beast_messages.hpp"

#include <iterator>

namespace boragefront::http {
namespace {
constexpr unsigned http_1_1 = 11;
} // namespace

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

bool has_supported_framing(const beast::http::fields& headers, unsigned version) {
    const auto [first, last] = headers.equal_range(beast::http::field::transfer_encoding);
    if (first == last) {
        return true;
    }
    return version >= http_1_1 && std::next(first) == last &&
           beast::iequals(first->value(), "chunked");
}

bool has_folded_line(std::string_view received) {
    constexpr std::string_view line_end = "\r\n";
    while (!received.empty()) {
        if (received.front() == ' ' || received.front() == '\t') {
            return true;
        }
        const auto end = received.find(line_end);
        if (end == 0 || end == std::string_view::npos) {
            return false;
        }
        received.remove_prefix(end + line_end.size());
    }
    return false;
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
