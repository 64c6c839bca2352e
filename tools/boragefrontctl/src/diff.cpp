#include "diff.hpp"

#include "command.hpp"

#include <boost/json.hpp>

#include <map>
#include <set>

namespace boragefront::ctl {
namespace {

namespace json = boost::json;

// The scalar fields of a value by their paths; an empty object or array counts as one.
using flat_value = std::map<std::string, std::string>;
using flat_tree = std::map<std::string, flat_value>;

void flatten(const json::value& value, const std::string& path, flat_value& out) {
    if (value.is_object() && !value.get_object().empty()) {
        for (const auto& member : value.get_object()) {
            const auto dot = path.empty() ? "" : ".";
            flatten(member.value(), path + dot + std::string{member.key()}, out);
        }
    } else if (value.is_array() && !value.get_array().empty()) {
        for (std::size_t i = 0; i < value.get_array().size(); ++i) {
            flatten(value.get_array()[i], path + '[' + std::to_string(i) + ']', out);
        }
    } else {
        out.emplace(path, json::serialize(value));
    }
}

result<flat_tree> flatten(const tree& read) {
    json::parse_options options;
    options.allow_comments = true;
    flat_tree keys;
    for (const auto& entry : read.entries) {
        json::error_code failure;
        const auto value = json::parse(entry.text, failure, {}, options);
        if (failure) {
            return make_error(error_kind::bad_request, failure.message(), entry.key);
        }
        flatten(value, "", keys[entry.key]);
    }
    return keys;
}

template <class Map>
auto find_in(const Map& map, const std::string& key) {
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

std::optional<std::string> copy_of(const std::string* text) {
    return text == nullptr ? std::nullopt : std::optional{*text};
}

template <class Map>
std::set<std::string> union_of_keys(const Map& left, const Map& right) {
    std::set<std::string> keys;
    for (const auto* side : {&left, &right}) {
        for (const auto& [key, value] : *side) {
            keys.insert(key);
        }
    }
    return keys;
}

void compare_values(const std::string& key, const flat_value& before, const flat_value& after,
                    std::vector<difference>& out) {
    for (const auto& path : union_of_keys(before, after)) {
        const auto* const old_text = find_in(before, path);
        const auto* const new_text = find_in(after, path);
        const bool equal = old_text != nullptr && new_text != nullptr && *old_text == *new_text;
        if (!equal) {
            out.push_back({key, path, copy_of(old_text), copy_of(new_text)});
        }
    }
}

void write_json(std::ostream& out, const std::vector<difference>& all) {
    json::array list;
    const auto text_or_null = [](const auto& text) { return text ? json::parse(*text) : nullptr; };
    for (const auto& one : all) {
        list.push_back(json::object{{"key", one.key},
                                    {"path", one.path},
                                    {"before", text_or_null(one.before)},
                                    {"after", text_or_null(one.after)}});
    }
    out << json::object{{"differences", list}} << '\n';
}

void write_lines(std::ostream& out, const std::vector<difference>& all) {
    for (const auto& one : all) {
        if (one.path.empty()) {
            out << (one.after ? "+ " : "- ") << one.key << '\n';
            continue;
        }
        out << "~ " << one.key << ": " << one.path << ": " << one.before.value_or("absent")
            << " -> " << one.after.value_or("absent") << '\n';
    }
}

} // namespace

result<std::vector<difference>> compare(const tree& before, const tree& after) {
    BOOST_OUTCOME_TRY(const auto old_keys, flatten(before));
    BOOST_OUTCOME_TRY(const auto new_keys, flatten(after));
    std::vector<difference> all;
    for (const auto& key : union_of_keys(old_keys, new_keys)) {
        const auto* const old_value = find_in(old_keys, key);
        const auto* const new_value = find_in(new_keys, key);
        if (old_value != nullptr && new_value != nullptr) {
            compare_values(key, *old_value, *new_value, all);
        } else {
            const std::optional<std::string> there{"true"};
            all.push_back({key, "", old_value != nullptr ? there : std::nullopt,
                           new_value != nullptr ? there : std::nullopt});
        }
    }
    return all;
}

exit_status config_diff(const command_line& line, const command_output& output) {
    if (line.arguments.size() != 2) {
        return refuse(output, "config diff takes two folders");
    }
    const auto before = read_tree(line.arguments[0]);
    const auto after = read_tree(line.arguments[1]);
    if (!before || !after) {
        return refuse(output, (before ? after : before).error().detail);
    }
    const auto all = compare(before.value(), after.value());
    if (!all) {
        return refuse(output, to_string(all.error()));
    }
    line.json ? write_json(output.out, all.value()) : write_lines(output.out, all.value());
    return all.value().empty() ? exit_status::good : exit_status::amiss;
}

} // namespace boragefront::ctl
