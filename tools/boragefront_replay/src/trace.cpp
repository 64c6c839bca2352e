#include "trace.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <optional>

namespace boragefront::replay {
namespace {

// The fields of one line; remembers the first fault.
class line_fields {
public:
    explicit line_fields(const boost::json::object& line) : line_{line} {}

    std::string text(std::string_view name) {
        const auto* const found = find(name);
        if (found == nullptr || !found->is_string()) {
            refuse(name, "must be a string");
            return {};
        }
        return std::string{found->get_string()};
    }

    bool flag(std::string_view name) {
        const auto* const found = find(name);
        if (found == nullptr || !found->is_bool()) {
            refuse(name, "must be a boolean");
            return false;
        }
        return found->get_bool();
    }

    milliseconds time(std::string_view name) {
        const auto* const found = find(name);
        if (found == nullptr || !found->is_int64() || found->get_int64() < 0) {
            refuse(name, "must be a whole number of milliseconds");
            return milliseconds{0};
        }
        return milliseconds{found->get_int64()};
    }

    // The body as JSON, or verbatim where the trace gives text that is not JSON.
    std::string body() {
        if (find("raw_body") != nullptr) {
            return text("raw_body");
        }
        const auto* const found = find("body");
        if (found == nullptr) {
            refuse("body", "is missing");
            return {};
        }
        return boost::json::serialize(*found);
    }

    expectation expected() {
        const auto* const found = find("expected");
        if (found == nullptr || !found->is_object()) {
            refuse("expected", "must be an object");
            return {};
        }
        line_fields inner{found->get_object()};
        expectation read{inner.text("outcome"), {}};
        if (inner.find("marker") != nullptr) {
            read.marker = inner.text("marker");
        }
        if (inner.fault_) {
            refuse("expected." + inner.fault_->field, inner.fault_->detail);
        } else if (read.outcome != "answer" && !parse_error_kind(read.outcome)) {
            refuse("expected.outcome", "must be \"answer\" or the name of an error kind");
        }
        return read;
    }

    const std::optional<error>& fault() const { return fault_; }

private:
    const boost::json::value* find(std::string_view name) const { return line_.if_contains(name); }

    void refuse(std::string_view name, std::string_view reason) {
        if (!fault_) {
            fault_ = make_error(error_kind::bad_request, std::string{reason}, std::string{name});
        }
    }

    const boost::json::object& line_;
    std::optional<error> fault_;
};

result<trace_entry> read_line(const std::string& text) {
    boost::json::error_code failure;
    const auto line = boost::json::parse(text, failure);
    if (failure || !line.is_object()) {
        return make_error(error_kind::bad_request, "must be one JSON object");
    }
    line_fields fields{line.get_object()};
    trace_entry entry;
    entry.arrival = fields.time("arrival_ms");
    entry.workspace = fields.text("workspace");
    entry.service = fields.text("service");
    entry.body = fields.body();
    entry.deadline = fields.time("deadline_ms");
    entry.repeatable = fields.flag("repeatable");
    entry.stream = fields.flag("stream");
    entry.expected = fields.expected();
    if (fields.fault()) {
        return *fields.fault();
    }
    return entry;
}

} // namespace

result<std::vector<trace_entry>> read_trace(std::istream& lines) {
    std::vector<trace_entry> entries;
    std::string text;
    for (std::size_t number = 1; std::getline(lines, text); ++number) {
        auto entry = read_line(text);
        if (!entry) {
            auto fault = entry.error();
            fault.detail = "line " + std::to_string(number) + ": " + fault.detail;
            return fault;
        }
        entries.push_back(std::move(entry.value()));
    }
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return left.arrival < right.arrival;
    });
    return entries;
}

result<std::vector<trace_entry>> load_trace(const std::string& file) {
    std::ifstream lines{file};
    if (!lines) {
        return make_error(error_kind::bad_request, file + ": cannot be opened");
    }
    auto entries = read_trace(lines);
    if (!entries) {
        auto fault = entries.error();
        fault.detail = file + ": " + fault.detail;
        return fault;
    }
    return entries;
}

} // namespace boragefront::replay
