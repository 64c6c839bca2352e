/// \file
#include "caller_request.hpp"

#include "base/ids.hpp"
#include "json_check.hpp"

#include <charconv>
#include <optional>
#include <utility>

namespace boragefront::entry {
namespace {

constexpr std::size_t path_length = 5;

struct target_names {
    std::string workspace;
    std::string service;
};

result<target_names> read_target(const http::request& message) {
    const auto segments = http::path_segments(message.target);
    const bool known = segments.size() == path_length && segments[0] == "v1" &&
                       segments[1] == "workspaces" && segments[3] == "services";
    if (!known) {
        return make_error(error_kind::bad_request,
                          "allowed is /v1/workspaces/{workspace}/services/{service}", "path");
    }
    if (message.method != "POST") {
        return make_error(error_kind::bad_request, "found " + message.method + ", allowed is POST",
                          "method");
    }
    return target_names{segments[2], segments[4]};
}

std::optional<std::int64_t> parse_signed(std::string_view text) {
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, value);
    if (failure != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return value;
}

result<milliseconds> read_remaining(const http::header_list& headers, milliseconds max_remaining) {
    if (!headers.has("Deadline-Ms")) {
        return max_remaining;
    }
    const auto text = headers.get("Deadline-Ms");
    const auto remaining = parse_signed(text);
    if (!remaining || *remaining > max_remaining.count()) {
        return make_error(error_kind::bad_request,
                          "found \"" + std::string{text} + "\", allowed is 1 to " +
                              std::to_string(max_remaining.count()),
                          "Deadline-Ms");
    }
    if (*remaining <= 0) {
        return make_error(error_kind::expired, "no time remains", "Deadline-Ms");
    }
    return milliseconds{*remaining};
}

result<std::string> read_key(const http::header_list& headers) {
    std::string key{headers.get("Idempotency-Key")};
    if (headers.has("Idempotency-Key") && !uuid7_time(key)) {
        return make_error(error_kind::bad_request, "found \"" + key + "\", allowed is a UUIDv7",
                          "Idempotency-Key");
    }
    return key;
}

// Only engines produce tokens, and only repeatable work may be interrupted partway.
bool wants_stream(const http::header_list& headers, const config::service& service,
                  const config::pool* last_pool) {
    const bool requested =
        headers.get("Accept").find("text/event-stream") != std::string_view::npos;
    const bool has_tokens =
        last_pool != nullptr && last_pool->kind == config::endpoint_kind::engine;
    return requested && service.repeatable && has_tokens;
}

result<void> check_body(const std::string& body) {
    if (const auto fault = json_fault(body)) {
        return make_error(error_kind::bad_request, "not JSON: " + *fault, "body");
    }
    return success();
}

} // namespace

work_ran ran_if_unsent(const caller_request& request) {
    const bool keyed = !request.repeatable && !request.key.empty();
    return keyed ? work_ran::unknown : work_ran::no;
}

result<caller_request> read_caller_request(const http::request& message,
                                           const config::snapshot& configuration, std::string id,
                                           time_point now) {
    BOOST_OUTCOME_TRY(auto names, read_target(message));
    const auto* workspace = configuration.find_workspace(names.workspace);
    if (workspace == nullptr) {
        return make_error(error_kind::unknown_workspace, "found \"" + names.workspace + '"',
                          "workspace");
    }
    const auto* service = configuration.find_service(names.service);
    if (service == nullptr) {
        return make_error(error_kind::unknown_service, "found \"" + names.service + '"', "service");
    }
    const auto* profile = configuration.find_profile(service->profile);
    caller_request read;
    read.profile = profile != nullptr ? *profile : config::profile{};
    BOOST_OUTCOME_TRY(const auto remaining, read_remaining(message.headers, read.profile.deadline));
    BOOST_OUTCOME_TRY(read.key, read_key(message.headers));
    BOOST_OUTCOME_TRY(check_body(message.body));
    read.id = std::move(id);
    read.workspace = std::move(names.workspace);
    read.service = std::move(names.service);
    read.stages = config::stages_of(*service);
    read.limits = {workspace->rate, workspace->max_in_flight};
    read.share = workspace->share;
    read.repeatable = service->repeatable;
    read.stream =
        wants_stream(message.headers, *service, configuration.find_pool(read.stages.back().pool));
    read.arrived_at = now;
    read.deadline = now + remaining;
    read.body = message.body;
    return read;
}

} // namespace boragefront::entry
