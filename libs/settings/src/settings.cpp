#include "settings/settings.hpp"

#include "field_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace boragefront::settings {
namespace {

constexpr integer_range thread_counts{1, 64};
constexpr integer_range grace_ms{0, 60'000};
constexpr integer_range body_sizes{1'024, 16 << 20};
constexpr integer_range drain_ms{100, 600'000};
constexpr number_range grace_times{0.5, 600}; // seconds
constexpr number_range windows{0.1, 600};     // seconds
constexpr integer_range log_rates{0, 100'000};
constexpr integer_range memory_sizes{8, 65'536}; // MiB
constexpr unsigned mebibyte_shift = 20;
constexpr number_range ratios{0, 10};
constexpr number_range processor_counts{0.01, 1'024};
constexpr number_range link_rates{0, 1e6}; // Mbit/s
constexpr number_range tolerances{1, 100};
constexpr number_range request_counts{0, 1e6};
constexpr std::uintmax_t largest_file = 1U << 20U;

error at_position(std::string_view text, std::size_t offset, const std::string& reason) {
    const auto before = text.substr(0, std::min(offset, text.size()));
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const auto line_start = before.rfind('\n');
    const auto column =
        before.size() - (line_start == std::string_view::npos ? 0 : line_start + 1) + 1;
    return make_error(error_kind::bad_request, "line " + std::to_string(line) + ", column " +
                                                   std::to_string(column) + ": " + reason +
                                                   "; must be JSON with comments");
}

// The parser is fed piecewise, because only then does it tell where it stopped.
result<boost::json::value> parse_json(std::string_view text) {
    boost::json::parse_options options;
    options.allow_comments = true;
    boost::json::stream_parser parser{{}, options};
    boost::json::error_code failure;
    std::size_t read = parser.write_some(text.data(), text.size(), failure);
    if (!failure && read < text.size()) {
        return at_position(text, read, "text after the end of the object");
    }
    if (!failure) {
        parser.finish(failure);
        read = text.size();
    }
    if (failure) {
        return at_position(text, read, failure.message());
    }
    return parser.release();
}

// One error for all faults: the first in full, the others on lines of their own.
error to_error(const fault_list& faults) {
    std::string detail = faults.front().detail;
    for (auto other = std::next(faults.begin()); other != faults.end(); ++other) {
        detail += "\n  " + other->path + ": " + other->detail;
    }
    return make_error(error_kind::bad_request, std::move(detail), faults.front().path);
}

entry_settings read_entry(const boost::json::object& object, fault_list& faults) {
    entry_settings read;
    field_reader fields{object, "entry", faults};
    read.traffic_threads = static_cast<unsigned>(
        fields.integer("traffic_threads", read.traffic_threads, thread_counts));
    read.readiness_grace = fields.time("readiness_grace_ms", read.readiness_grace, grace_ms);
    read.body_bytes = static_cast<std::size_t>(
        fields.integer("body_bytes", static_cast<std::int64_t>(read.body_bytes), body_sizes));
    fields.refuse_unknown();
    return read;
}

sidecar_settings read_sidecar(const boost::json::object& object, fault_list& faults) {
    sidecar_settings read;
    field_reader fields{object, "sidecar", faults};
    read.pool = fields.name("pool");
    read.endpoint_address = fields.address("endpoint_address", port_rule::must_be_set);
    fields.refuse_unknown();
    return read;
}

gateway_settings read_gateway(const boost::json::object& object, fault_list& faults) {
    gateway_settings read;
    field_reader fields{object, "gateway", faults};
    read.ready_address = fields.address("ready_address", port_rule::may_be_zero);
    read.work_address = fields.address("work_address", port_rule::may_be_zero);
    if (object.contains("metrics_address")) {
        read.metrics_address = fields.address("metrics_address", port_rule::may_be_zero);
    }
    read.region_of = fields.names("regions");
    read.grace = fields.time_in_seconds("grace_s", read.grace, grace_times);
    read.retry_ratio = fields.number("retry_ratio", read.retry_ratio, ratios);
    read.retry_slack = fields.number("retry_slack", read.retry_slack, request_counts);
    read.retry_window = fields.time_in_seconds("retry_window_s", read.retry_window, windows);
    read.cold_tolerance = fields.number("cold_tolerance", read.cold_tolerance, tolerances);
    read.cold_slack = fields.number("cold_slack", read.cold_slack, request_counts);
    read.processors = fields.number("processors", read.processors, processor_counts);
    read.link_mbps = fields.number("link_mbps", read.link_mbps, link_rates);
    read.log_lines_per_second = static_cast<unsigned>(
        fields.integer("log_lines_per_second", read.log_lines_per_second, log_rates));
    const auto message_memory = fields.integer(
        "message_memory_mb", static_cast<std::int64_t>(read.message_bytes >> mebibyte_shift),
        memory_sizes);
    read.message_bytes = static_cast<std::size_t>(message_memory) << mebibyte_shift;
    fields.refuse_unknown();
    return read;
}

std::variant<entry_settings, sidecar_settings, gateway_settings> read_role(field_reader& fields,
                                                                           fault_list& faults) {
    const auto role = fields.word("role", {"entry", "sidecar", "gateway"}, true);
    if (role == "gateway") {
        const auto* const section = fields.object("gateway", true);
        return section == nullptr ? gateway_settings{} : read_gateway(*section, faults);
    }
    if (role == "sidecar") {
        const auto* const section = fields.object("sidecar", true);
        return section == nullptr ? sidecar_settings{} : read_sidecar(*section, faults);
    }
    const auto* const section = fields.object("entry", false);
    return section == nullptr ? entry_settings{} : read_entry(*section, faults);
}

daemon_settings read_daemon(const boost::json::object& object, fault_list& faults) {
    daemon_settings read;
    field_reader fields{object, "", faults};
    read.role = read_role(fields, faults);
    read.id = fields.name("id");
    read.data_centre = fields.name("data_centre");
    read.data_address = fields.address("data_address", port_rule::may_be_zero);
    read.control_address = fields.address("control_address", port_rule::may_be_zero);
    read.platform_address = fields.address("platform_address", port_rule::must_be_set);
    read.seed_peers = fields.addresses("seed_peers");
    const bool json = fields.word("logs", {"key_value", "json"}, false) == "json";
    read.logs = json ? log_format::json : log_format::key_value;
    read.drain_timeout = fields.time("drain_timeout_ms", read.drain_timeout, drain_ms);
    fields.refuse_unknown();
    return read;
}

error in_file(const std::filesystem::path& file, error failure) {
    const auto path = failure.field.empty() ? std::string{} : failure.field + ": ";
    failure.detail = file.string() + ": " + path + failure.detail;
    return failure;
}

result<std::string> read_file(const std::filesystem::path& file) {
    std::error_code failure;
    const auto size = std::filesystem::file_size(file, failure);
    if (failure) {
        return make_error(error_kind::bad_request, failure.message());
    }
    if (size > largest_file) {
        return make_error(error_kind::too_large, "a settings file may have 1 MiB at most");
    }
    std::ifstream stream{file, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{stream}, {}};
    if (!stream) {
        return make_error(error_kind::bad_request, "cannot be read");
    }
    return text;
}

} // namespace

result<daemon_settings> parse(std::string_view text) {
    BOOST_OUTCOME_TRY(const auto document, parse_json(text));
    if (!document.is_object()) {
        return make_error(error_kind::bad_request, "the settings must be one JSON object");
    }
    fault_list faults;
    auto settings = read_daemon(document.get_object(), faults);
    if (!faults.empty()) {
        return to_error(faults);
    }
    return settings;
}

result<daemon_settings> load(const std::filesystem::path& file) {
    auto text = read_file(file);
    if (!text) {
        return in_file(file, text.error());
    }
    auto settings = parse(text.value());
    if (!settings) {
        return in_file(file, settings.error());
    }
    return settings;
}

} // namespace boragefront::settings
