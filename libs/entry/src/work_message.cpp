/// \file
#include "work_message.hpp"

#include "json_check.hpp"

#include <boost/algorithm/string/split.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace boragefront::entry {
namespace {

std::string_view name_of(config::lane lane) {
    switch (lane) {
    case config::lane::urgent:
        return "urgent";
    case config::lane::background:
        return "background";
    case config::lane::normal:
        break;
    }
    return "normal";
}

http::request make_post(std::string target, const std::string& work, const work_target& where) {
    http::request message;
    message.method = "POST";
    message.target = std::move(target);
    message.headers.set("Boragefront-Work", work);
    message.headers.set("Boragefront-Incarnation", std::to_string(where.life));
    return message;
}

std::uint64_t number_in(const http::response& head, std::string_view name) {
    return parse_number(head.headers.get(name)).value_or(0);
}

std::vector<std::string> split_ids(std::string_view text) {
    std::vector<std::string> ids;
    if (!text.empty()) {
        boost::algorithm::split(ids, text, [](char each) { return each == ','; });
    }
    return ids;
}

result<stream_line> unreadable_line() {
    return make_error(error_kind::incomplete_answer, "stream line is neither a token nor the end");
}

} // namespace

http::request make_work_request(const stage_work& work, std::uint32_t attempt,
                                const work_target& target, revision held) {
    const auto id = to_string(work_id{work.request, work.stage, attempt});
    auto message = make_post("/v1/work", id, target);
    auto& headers = message.headers;
    headers.set("Content-Type", "application/json");
    headers.set("Boragefront-Expires-At", std::to_string(target.expires_at.since_epoch.count()));
    headers.set("Boragefront-Workspace", work.workspace);
    headers.set("Boragefront-Service", work.service);
    headers.set("Boragefront-Lane", std::string{name_of(work.lane)});
    headers.set("Boragefront-Share", std::to_string(work.share));
    headers.set("Boragefront-Repeatable", work.repeatable ? "1" : "0");
    headers.set("Boragefront-Revision", std::to_string(held));
    if (!work.key.empty()) {
        headers.set("Boragefront-Idempotency-Key", work.key);
    }
    if (!work.released_by.empty()) {
        headers.set("Boragefront-Released-By", work.released_by);
    }
    if (work.stream) {
        headers.set("Boragefront-Stream", "1");
    }
    message.body = work.body;
    return message;
}

http::request make_release_request(const stage_work& work, std::uint32_t attempt,
                                   const work_target& target, revision held) {
    auto message = make_work_request(work, attempt, target, held);
    message.target = "/v1/release";
    return message;
}

http::request make_outcome_request(const work_id& id, const work_target& target) {
    return make_post("/v1/outcome", to_string(id), target);
}

http::request make_acknowledge_request(const work_id& id, const work_target& target) {
    return make_post("/v1/acknowledge", to_string(id), target);
}

bool is_answer_for(const http::response& head, const work_id& id) {
    return head.headers.get("Boragefront-Work") == to_string(id);
}

microseconds service_time_of(const http::response& head) {
    return microseconds{number_in(head, "Boragefront-Service-Us")};
}

revision revision_of(const http::response& head) {
    return number_in(head, "Boragefront-Revision");
}

std::optional<routing::load_report> load_reported_by(const http::response& head) {
    std::array<unsigned, 4> numbers{};
    auto rest = head.headers.get("Boragefront-Load");
    for (auto& number : numbers) {
        const auto word = rest.substr(0, rest.find('/'));
        const auto value = parse_number(word);
        if (!value || *value > std::numeric_limits<unsigned>::max()) {
            return std::nullopt;
        }
        number = static_cast<unsigned>(*value);
        rest.remove_prefix(std::min(rest.size(), word.size() + 1));
    }
    return routing::load_report{numbers[0], numbers[1], numbers[2], microseconds{numbers[3]}};
}

work_failure read_failure(const http::response& answer, const work_id& id) {
    if (!is_answer_for(answer, id)) {
        return {make_error(error_kind::connection_lost, "the answer is for other work")};
    }
    const auto problem = from_problem_json(answer.body);
    if (!problem) {
        return {make_error(error_kind::connection_lost, "status " + std::to_string(answer.status) +
                                                            " without a problem document")};
    }
    return {*problem, execution::failure_origin::sidecar, service_time_of(answer),
            split_ids(answer.headers.get("Boragefront-Other-Homes"))};
}

result<stream_line> read_stream_line(std::string_view line) {
    boost::json::error_code failure;
    const auto value = boost::json::parse(line, failure);
    if (failure || !value.is_object()) {
        return unreadable_line();
    }
    const auto& object = value.get_object();
    const auto number = [&](std::string_view name) -> std::optional<std::uint64_t> {
        const auto* member = object.if_contains(name);
        boost::json::error_code mistyped;
        if (member == nullptr || !member->is_number()) {
            return std::nullopt;
        }
        const auto read = member->to_number<std::uint64_t>(mistyped);
        return mistyped ? std::nullopt : std::optional{read};
    };
    stream_line read;
    if (object.if_contains("end") != nullptr) {
        const auto count = number("count");
        if (!count) {
            return unreadable_line();
        }
        read.end = true;
        read.count = *count;
        return read;
    }
    const auto index = number("index");
    const auto* text = object.if_contains("text");
    if (!index || text == nullptr || !text->is_string()) {
        return unreadable_line();
    }
    read.index = *index;
    read.text = std::string{text->get_string()};
    return read;
}

result<void> check_output(std::string_view text) {
    if (const auto fault = json_fault(text)) {
        return make_error(error_kind::stage_failed, "the output is not JSON: " + *fault);
    }
    return success();
}

} // namespace boragefront::entry
