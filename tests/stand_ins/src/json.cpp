#include "stand_ins/json.hpp"

#include <boost/json/parse.hpp>

#include <fstream>
#include <sstream>

namespace boragefront::stand_ins {

namespace json = boost::json;

result<json::value> parse_json(std::string_view text) {
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code failure;
    auto parsed = json::parse(text, failure, {}, options);
    if (failure) {
        return make_error(error_kind::bad_request, failure.message());
    }
    return parsed;
}

result<json::value> load_json(const std::filesystem::path& file) {
    const std::ifstream stream{file};
    std::ostringstream text;
    text << stream.rdbuf();
    auto parsed = parse_json(text.str());
    if (!parsed) {
        return make_error(error_kind::bad_request, parsed.error().detail, file.string());
    }
    return parsed;
}

double number_or(const json::object& object, std::string_view name, double fallback) {
    const auto* member = object.if_contains(name);
    if (member == nullptr || !member->is_number()) {
        return fallback;
    }
    return member->to_number<double>();
}

std::int64_t integer_or(const json::object& object, std::string_view name, std::int64_t fallback) {
    return static_cast<std::int64_t>(number_or(object, name, static_cast<double>(fallback)));
}

bool flag_or(const json::object& object, std::string_view name, bool fallback) {
    const auto* member = object.if_contains(name);
    return member != nullptr && member->is_bool() ? member->get_bool() : fallback;
}

std::string string_or_empty(const json::object& object, std::string_view name) {
    const auto* member = object.if_contains(name);
    if (member == nullptr || !member->is_string()) {
        return {};
    }
    return std::string{member->get_string()};
}

} // namespace boragefront::stand_ins
