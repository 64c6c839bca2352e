#include "field_reader.hpp"

#include "base/ids.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <limits>
#include <sstream>

namespace boragefront::settings {
namespace {

constexpr std::size_t longest_name = 128;
constexpr std::size_t longest_excerpt = 80;
constexpr std::string_view name_rule =
    "a name of 1 to 128 letters, digits, '.', '_' or '-', as in \"oaxaca-ctr\"";

std::string_view kind_name(const boost::json::value& found) {
    switch (found.kind()) {
    case boost::json::kind::null:
        return "null";
    case boost::json::kind::bool_:
        return "a boolean";
    case boost::json::kind::string:
        return "a string";
    case boost::json::kind::array:
        return "an array";
    case boost::json::kind::object:
        return "an object";
    default:
        return "a number";
    }
}

std::string describe(const boost::json::value& found) {
    std::string text{kind_name(found)};
    if (found.is_structured() || found.is_null()) {
        return text;
    }
    std::string excerpt = boost::json::serialize(found);
    if (excerpt.size() > longest_excerpt) {
        excerpt.resize(longest_excerpt);
        excerpt += "...";
    }
    return text + ' ' + excerpt;
}

bool is_name(std::string_view text) {
    constexpr std::string_view allowed =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !text.empty() && text.size() <= longest_name &&
           text.find_first_not_of(allowed) == std::string_view::npos;
}

bool is_address(std::string_view text, port_rule rule) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    boost::system::error_code failure;
    boost::asio::ip::make_address(std::string{text.substr(0, colon)}, failure);
    const auto port = parse_number(text.substr(colon + 1));
    if (failure || !port || *port > std::numeric_limits<std::uint16_t>::max()) {
        return false;
    }
    return rule == port_rule::may_be_zero || *port != 0;
}

std::string_view address_rule(port_rule rule) {
    return rule == port_rule::may_be_zero ? "\"ip:port\", port 0 for any free one"
                                          : "\"ip:port\" with a port from 1 to 65535";
}

std::string list_of(std::initializer_list<std::string_view> words) {
    std::string text;
    for (const auto word : words) {
        text += text.empty() ? "\"" : ", \"";
        text += word;
        text += '"';
    }
    return text;
}

// Without the zeros that std::to_string appends.
std::string plain_text(double value) {
    std::ostringstream text;
    text << value;
    return text.str();
}

} // namespace

field_reader::field_reader(const boost::json::object& object, std::string path, fault_list& faults)
    : object_{object}, path_{std::move(path)}, faults_{faults} {}

std::string field_reader::name(std::string_view field) {
    const auto* const found = find_required(field, name_rule);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || !is_name(found->get_string())) {
        refuse(field, *found, name_rule);
        return {};
    }
    return std::string{found->get_string()};
}

std::string field_reader::address(std::string_view field, port_rule rule) {
    const auto* const found = find_required(field, address_rule(rule));
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || !is_address(found->get_string(), rule)) {
        refuse(field, *found, address_rule(rule));
        return {};
    }
    return std::string{found->get_string()};
}

std::vector<std::string> field_reader::addresses(std::string_view field) {
    const auto* const found = find(field);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_array()) {
        refuse(field, *found, "an array of \"ip:port\"");
        return {};
    }
    std::vector<std::string> all;
    for (const auto& item : found->get_array()) {
        if (item.is_string() && is_address(item.get_string(), port_rule::must_be_set)) {
            all.emplace_back(item.get_string());
            continue;
        }
        refuse(std::string{field} + '[' + std::to_string(&item - found->get_array().data()) + ']',
               item, address_rule(port_rule::must_be_set));
    }
    return all;
}

std::int64_t field_reader::integer(std::string_view field, std::int64_t otherwise,
                                   integer_range allowed) {
    const auto* const found = find(field);
    if (found == nullptr) {
        return otherwise;
    }
    if (!found->is_int64() || found->get_int64() < allowed.lowest ||
        found->get_int64() > allowed.highest) {
        refuse(field, *found,
               "a whole number from " + std::to_string(allowed.lowest) + " to " +
                   std::to_string(allowed.highest));
        return otherwise;
    }
    return found->get_int64();
}

double field_reader::number(std::string_view field, double otherwise, number_range allowed) {
    const auto* const found = find(field);
    if (found == nullptr) {
        return otherwise;
    }
    const double value = found->is_number() ? found->to_number<double>() : allowed.lowest - 1;
    if (!(value >= allowed.lowest && value <= allowed.highest)) {
        refuse(field, *found,
               "a number from " + plain_text(allowed.lowest) + " to " +
                   plain_text(allowed.highest));
        return otherwise;
    }
    return value;
}

std::map<std::string, std::string> field_reader::names(std::string_view field) {
    std::map<std::string, std::string> read;
    const auto* const found = object(field, false);
    if (found == nullptr) {
        return read;
    }
    for (const auto& [key, value] : *found) {
        if (value.is_string()) {
            read.emplace(std::string{key}, std::string{value.get_string()});
        } else {
            refuse(field, value, "texts by name");
        }
    }
    return read;
}

milliseconds field_reader::time(std::string_view field, milliseconds otherwise,
                                integer_range allowed) {
    return milliseconds{integer(field, otherwise.count(), allowed)};
}

milliseconds field_reader::time_in_seconds(std::string_view field, milliseconds otherwise,
                                           number_range allowed) {
    const std::chrono::duration<double> fallback = otherwise;
    return std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double>{number(field, fallback.count(), allowed)});
}

std::string_view field_reader::word(std::string_view field,
                                    std::initializer_list<std::string_view> allowed,
                                    bool required) {
    const auto rule = "one of " + list_of(allowed);
    const auto* const found = required ? find_required(field, rule) : find(field);
    if (found == nullptr) {
        return *allowed.begin();
    }
    const auto* match = allowed.end();
    if (found->is_string()) {
        match = std::find(allowed.begin(), allowed.end(), std::string_view{found->get_string()});
    }
    if (match == allowed.end()) {
        refuse(field, *found, rule);
        return *allowed.begin();
    }
    return *match;
}

const boost::json::object* field_reader::object(std::string_view field, bool required) {
    const auto* const found = required ? find_required(field, "an object") : find(field);
    if (found == nullptr) {
        return nullptr;
    }
    if (!found->is_object()) {
        refuse(field, *found, "an object");
        return nullptr;
    }
    return &found->get_object();
}

void field_reader::refuse_unknown() {
    for (const auto& member : object_) {
        if (known_.contains(std::string_view{member.key()})) {
            continue;
        }
        std::string allowed;
        for (const auto& name : known_) {
            allowed += allowed.empty() ? name : ", " + name;
        }
        faults_.push_back({path_of(member.key()), "unknown field; allowed here: " + allowed});
    }
}

const boost::json::value* field_reader::find(std::string_view field) {
    known_.emplace(field);
    return object_.if_contains(field);
}

const boost::json::value* field_reader::find_required(std::string_view field,
                                                      std::string_view allowed) {
    const auto* const found = find(field);
    if (found == nullptr) {
        faults_.push_back({path_of(field), "missing; must be " + std::string{allowed}});
    }
    return found;
}

std::string field_reader::path_of(std::string_view field) const {
    return path_.empty() ? std::string{field} : path_ + '.' + std::string{field};
}

void field_reader::refuse(std::string_view field, const boost::json::value& found,
                          std::string_view allowed) {
    faults_.push_back(
        {path_of(field), "found " + describe(found) + "; must be " + std::string{allowed}});
}

} // namespace boragefront::settings
