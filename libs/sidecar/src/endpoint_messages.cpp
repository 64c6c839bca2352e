/// \file
/// Implementation of the endpoint's message bodies.
#include "endpoint_messages.hpp"

#include <boost/json.hpp>

namespace boragefront::sidecar {
namespace {

namespace json = boost::json;
constexpr unsigned unavailable_status = 503;

std::optional<json::object> read_object(std::string_view text) {
    json::error_code failure;
    auto value = json::parse(text, failure);
    if (failure || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.get_object());
}

std::optional<std::uint64_t> number_in(const json::object& object, std::string_view name) {
    const auto* member = object.if_contains(name);
    if (member == nullptr) {
        return std::nullopt;
    }
    json::error_code failure;
    const auto value = member->to_number<std::uint64_t>(failure);
    return failure ? std::nullopt : std::optional{value};
}

std::string string_in(const json::object& object, std::string_view name) {
    const auto* member = object.if_contains(name);
    return member != nullptr && member->is_string() ? std::string{member->get_string()}
                                                    : std::string{};
}

} // namespace

std::string write_order(const endpoint_order& order) {
    const json::object head{{"identity", to_string(order.id)},
                            {"stage", order.stage},
                            {"priority", static_cast<int>(order.lane)},
                            {"stream", order.stream}};
    // The input is JSON already and goes in as it is.
    auto text = json::serialize(head);
    text.pop_back();
    return text + ",\"input\":" + order.input + '}';
}

std::optional<std::string> read_output(std::string_view body, const work_id& id) {
    const auto object = read_object(body);
    if (!object || string_in(*object, "identity") != to_string(id)) {
        return std::nullopt;
    }
    const auto* output = object->if_contains("output");
    if (output == nullptr) {
        return std::nullopt;
    }
    return json::serialize(*output);
}

bool says_overloaded(unsigned status, std::string_view body) {
    const auto object = read_object(body);
    return status == unavailable_status && object && string_in(*object, "error") == "overloaded";
}

std::optional<load_report> read_load(std::string_view body) {
    const auto object = read_object(body);
    if (!object) {
        return std::nullopt;
    }
    const auto running = number_in(*object, "running");
    if (!running) {
        return std::nullopt;
    }
    load_report report;
    report.instance = string_in(*object, "instance");
    report.cold = string_in(*object, "state") == "cold";
    report.running = *running;
    report.cached_prefixes = number_in(*object, "cached_prefixes").value_or(0);
    return report;
}

stream_check::line_kind stream_check::next(std::string_view line) {
    const auto object = read_object(line);
    if (!object) {
        return line_kind::invalid;
    }
    if (object->contains("end")) {
        return number_in(*object, "count") == count_ ? line_kind::end : line_kind::invalid;
    }
    if (number_in(*object, "index") != count_) {
        return line_kind::invalid;
    }
    ++count_;
    return line_kind::token;
}

} // namespace boragefront::sidecar
