#include "http/message.hpp"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <charconv>

namespace boragefront::http {
namespace {

constexpr int hex_base = 16;
constexpr std::size_t escape_length = 3;

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned code = 0;
        if (text[i] == '%' && i + escape_length <= text.size()) {
            const char* const first = text.data() + i + 1;
            const char* const last = first + 2;
            if (std::from_chars(first, last, code, hex_base).ptr == last) {
                decoded += static_cast<char>(code);
                i += 2;
                continue;
            }
        }
        decoded += text[i];
    }
    return decoded;
}

} // namespace

std::string_view header_list::get(std::string_view name) const {
    for (const auto& entry : headers_) {
        if (boost::algorithm::iequals(entry.name, name)) {
            return entry.value;
        }
    }
    return {};
}

bool header_list::has(std::string_view name) const {
    return std::any_of(begin(), end(), [&](const header& entry) {
        return boost::algorithm::iequals(entry.name, name);
    });
}

void header_list::set(std::string_view name, std::string value) {
    for (auto& entry : headers_) {
        if (boost::algorithm::iequals(entry.name, name)) {
            entry.value = std::move(value);
            return;
        }
    }
    headers_.push_back({std::string{name}, std::move(value)});
}

void header_list::add(std::string_view name, std::string value) {
    headers_.push_back({std::string{name}, std::move(value)});
}

void header_list::remove(std::string_view name) {
    std::erase_if(headers_,
                  [&](const header& entry) { return boost::algorithm::iequals(entry.name, name); });
}

response make_json_response(unsigned status, std::string body) {
    response answer{.status = status};
    answer.headers.set("Content-Type", "application/json");
    answer.body = std::move(body);
    return answer;
}

std::string_view target_path(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::string query_value(std::string_view target, std::string_view name) {
    const auto question_mark = target.find('?');
    auto rest = question_mark == std::string_view::npos ? std::string_view{}
                                                        : target.substr(question_mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string{}
                                                    : percent_decode(pair.substr(equals + 1));
        }
    }
    return {};
}

std::vector<std::string> path_segments(std::string_view target) {
    std::vector<std::string> segments;
    auto rest = target_path(target);
    while (!rest.empty()) {
        const auto segment = rest.substr(0, rest.find('/'));
        rest.remove_prefix(std::min(rest.size(), segment.size() + 1));
        if (!segment.empty()) {
            segments.push_back(percent_decode(segment));
        }
    }
    return segments;
}

} // namespace boragefront::http
