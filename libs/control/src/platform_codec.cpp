#include "platform_codec.hpp"

#include <boost/json.hpp>

namespace boragefront::control {
namespace {

namespace json = boost::json;

error fault_at(std::string field, std::string allowed) {
    return make_error(error_kind::bad_request, "allowed: " + std::move(allowed), std::move(field));
}

result<json::value> parse_object(std::string_view text) {
    boost::json::error_code failure;
    auto value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        return fault_at("answer", "a JSON object");
    }
    return value;
}

result<const json::array*> array_field(const json::object& object, std::string_view name) {
    const auto* found = object.if_contains(name);
    if (found == nullptr || !found->is_array()) {
        return fault_at(std::string{name}, "an array");
    }
    return &found->get_array();
}

result<revision> revision_field(const json::object& object, const std::string& path) {
    boost::json::error_code failure;
    const auto* found = object.if_contains("revision");
    if (found == nullptr || !found->is_number() || found->is_double()) {
        return fault_at(path, "an unsigned integer");
    }
    const auto number = found->to_number<std::uint64_t>(failure);
    if (failure) {
        return fault_at(path, "an unsigned integer");
    }
    return number;
}

result<std::string> text_field(const json::object& object, std::string_view name,
                               const std::string& path) {
    const auto* found = object.if_contains(name);
    if (found == nullptr || !found->is_string()) {
        return fault_at(path + '.' + std::string{name}, "a string");
    }
    return std::string{found->get_string()};
}

std::string optional_text(const json::object& object, std::string_view name) {
    const auto* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string{found->get_string()} : "";
}

result<config::published_entry> read_entry(const json::value& value, const std::string& path) {
    if (!value.is_object()) {
        return fault_at(path, "an object");
    }
    const auto& object = value.get_object();
    config::published_entry entry;
    BOOST_OUTCOME_TRY(entry.key, text_field(object, "key", path));
    BOOST_OUTCOME_TRY(entry.number, revision_field(object, path + ".revision"));
    const auto* deleted = object.if_contains("deleted");
    entry.deleted = deleted != nullptr && deleted->is_bool() && deleted->get_bool();
    const auto* published = object.if_contains("value");
    if (!entry.deleted && published == nullptr) {
        return fault_at(path + ".value", "a value, or deleted");
    }
    if (!entry.deleted) {
        entry.value = json::serialize(*published);
    }
    return entry;
}

result<membership::instance_role> read_role(const std::string& name, const std::string& path) {
    if (name != "entry" && name != "sidecar") {
        return fault_at(path + ".role", "entry or sidecar");
    }
    return name == "entry" ? membership::instance_role::entry : membership::instance_role::sidecar;
}

result<membership::instance> read_instance(const json::value& value, const std::string& path) {
    if (!value.is_object()) {
        return fault_at(path, "an object");
    }
    const auto& object = value.get_object();
    membership::instance read;
    BOOST_OUTCOME_TRY(read.id, text_field(object, "id", path));
    BOOST_OUTCOME_TRY(const auto role, text_field(object, "role", path));
    BOOST_OUTCOME_TRY(read.role, read_role(role, path));
    BOOST_OUTCOME_TRY(read.data_centre, text_field(object, "data_centre", path));
    BOOST_OUTCOME_TRY(read.control_address, text_field(object, "control_address", path));
    read.data_address = optional_text(object, "data_address");
    read.pool = optional_text(object, "pool");
    if (optional_text(object, "state") == "leaving") {
        read.state = membership::instance_state::leaving;
    }
    return read;
}

} // namespace

result<platform_config> read_config_answer(std::string_view text) {
    BOOST_OUTCOME_TRY(const auto document, parse_object(text));
    const auto& object = document.get_object();
    platform_config read;
    BOOST_OUTCOME_TRY(read.highest, revision_field(object, "revision"));
    BOOST_OUTCOME_TRY(const auto* entries, array_field(object, "entries"));
    for (std::size_t i = 0; i < entries->size(); ++i) {
        BOOST_OUTCOME_TRY(auto entry,
                          read_entry((*entries)[i], "entries[" + std::to_string(i) + ']'));
        read.entries.push_back(std::move(entry));
    }
    return read;
}

result<std::vector<membership::instance>> read_instances_answer(std::string_view text) {
    BOOST_OUTCOME_TRY(const auto document, parse_object(text));
    BOOST_OUTCOME_TRY(const auto* instances, array_field(document.get_object(), "instances"));
    std::vector<membership::instance> read;
    for (std::size_t i = 0; i < instances->size(); ++i) {
        BOOST_OUTCOME_TRY(auto one,
                          read_instance((*instances)[i], "instances[" + std::to_string(i) + ']'));
        read.push_back(std::move(one));
    }
    return read;
}

} // namespace boragefront::control
