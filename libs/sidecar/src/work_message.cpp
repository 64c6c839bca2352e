/// \file
/// Implementation of reading entries' requests.
#include "work_message.hpp"

#include "base/hash.hpp"

#include <boost/json.hpp>

#include <cmath>
#include <cstdlib>

namespace boragefront::sidecar {
namespace {

constexpr std::string_view work_header = "Boragefront-Work";
constexpr std::string_view incarnation_header = "Boragefront-Incarnation";
constexpr std::string_view expiry_header = "Boragefront-Expires-At";
constexpr std::string_view workspace_header = "Boragefront-Workspace";
constexpr std::string_view service_header = "Boragefront-Service";
constexpr std::string_view lane_header = "Boragefront-Lane";
constexpr std::string_view share_header = "Boragefront-Share";
constexpr std::string_view idempotent_header = "Boragefront-Repeatable";
constexpr std::string_view key_header = "Boragefront-Idempotency-Key";
constexpr std::string_view released_header = "Boragefront-Released-By";
constexpr std::string_view stream_header = "Boragefront-Stream";
constexpr std::string_view revision_header = "Boragefront-Revision";

constexpr double least_share = 1e-6;
constexpr double most_share = 1e6;

error bad_header(std::string_view name, std::string_view found, std::string_view allowed) {
    return make_error(error_kind::bad_request,
                      "found \"" + std::string{found} + "\", allowed is " + std::string{allowed},
                      std::string{name});
}

result<std::uint64_t> read_number(const http::request& message, std::string_view name) {
    const auto text = message.headers.get(name);
    const auto value = parse_number(text);
    if (!value) {
        return bad_header(name, text, "a decimal number");
    }
    return *value;
}

result<bool> read_flag(const http::request& message, std::string_view name) {
    const auto text = message.headers.get(name);
    if (text != "0" && text != "1" && !text.empty()) {
        return bad_header(name, text, "0 or 1");
    }
    return text == "1";
}

result<std::string> read_name(const http::request& message, std::string_view name) {
    const auto text = message.headers.get(name);
    if (text.empty()) {
        return bad_header(name, text, "a name");
    }
    return std::string{text};
}

result<config::lane> read_lane(const http::request& message) {
    const auto text = message.headers.get(lane_header);
    if (text == "urgent") {
        return config::lane::urgent;
    }
    if (text == "normal" || text.empty()) {
        return config::lane::normal;
    }
    if (text == "background") {
        return config::lane::background;
    }
    return bad_header(lane_header, text, "urgent, normal or background");
}

result<double> read_share(const http::request& message) {
    const std::string text{message.headers.get(share_header)};
    if (text.empty()) {
        return 1.0;
    }
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    const bool whole = end == text.c_str() + text.size();
    if (!whole || !std::isfinite(value) || value < least_share || value > most_share) {
        return bad_header(share_header, text, "a number from 0.000001 to 1000000");
    }
    return value;
}

result<time_point> read_expiry(const http::request& message) {
    BOOST_OUTCOME_TRY(const auto value, read_number(message, expiry_header));
    constexpr auto most = static_cast<std::uint64_t>(nanoseconds::max().count());
    if (value > most) {
        return bad_header(expiry_header, message.headers.get(expiry_header), "nanoseconds");
    }
    return time_point{nanoseconds{static_cast<nanoseconds::rep>(value)}};
}

// A key holds for one workspace and service; its time is in the caller's own part.
result<void> read_key(const http::request& message, const std::string& service,
                      offered_work& offered) {
    const auto text = message.headers.get(key_header);
    if (text.empty()) {
        return success();
    }
    if (!uuid7_time(text)) {
        return bad_header(key_header, text, "a UUIDv7");
    }
    offered.record.key_id = text;
    offered.record.key = offered.workspace + '\n' + service + '\n' + std::string{text};
    offered.record.body_hash = stable_hash(message.body);
    return success();
}

// Ids separated by commas.
sidecar_ids read_ids(std::string_view text) {
    sidecar_ids ids;
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        if (end > 0) {
            ids.emplace(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return ids;
}

bool is_json(const std::string& text) {
    boost::json::error_code failure;
    boost::json::stream_parser parser;
    parser.write(text, failure);
    if (!failure) {
        parser.finish(failure);
    }
    return !failure;
}

} // namespace

result<work_reference> read_reference(const http::request& message) {
    const auto text = message.headers.get(work_header);
    auto id = parse_work_id(text);
    if (!id) {
        return bad_header(work_header, text, "request/stage/attempt");
    }
    work_reference reference{std::move(*id), 0};
    if (message.headers.has(incarnation_header)) {
        BOOST_OUTCOME_TRY(reference.life, read_number(message, incarnation_header));
    }
    return reference;
}

result<work_message> read_work(const http::request& message) {
    work_message read;
    auto& offered = read.offered;
    BOOST_OUTCOME_TRY(auto reference, read_reference(message));
    BOOST_OUTCOME_TRY(offered.life, read_number(message, incarnation_header));
    offered.record.id = std::move(reference.id);
    BOOST_OUTCOME_TRY(offered.record.expires_at, read_expiry(message));
    BOOST_OUTCOME_TRY(offered.workspace, read_name(message, workspace_header));
    BOOST_OUTCOME_TRY(read.service, read_name(message, service_header));
    BOOST_OUTCOME_TRY(offered.lane, read_lane(message));
    BOOST_OUTCOME_TRY(offered.share, read_share(message));
    BOOST_OUTCOME_TRY(offered.idempotent, read_flag(message, idempotent_header));
    BOOST_OUTCOME_TRY(read.stream, read_flag(message, stream_header));
    BOOST_OUTCOME_TRY(read_key(message, read.service, offered));
    read.sender_revision = read_revision(message);
    read.released_by = read_ids(message.headers.get(released_header));
    if (!is_json(message.body)) {
        return make_error(error_kind::bad_request, "the input is not JSON", "body");
    }
    read.input = message.body;
    return read;
}

revision read_revision(const http::request& message) {
    return parse_number(message.headers.get(revision_header)).value_or(0);
}

} // namespace boragefront::sidecar
