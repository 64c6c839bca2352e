#include "event_splitter.hpp"

#include "base/ids.hpp"

namespace boragefront::gateway {
namespace {

std::optional<std::uint64_t> parse_event_id(std::string_view event) {
    constexpr std::string_view field = "id:";
    std::size_t line_start = 0;
    while (line_start < event.size()) {
        const auto line_end = event.find('\n', line_start);
        auto content = event.substr(line_start, line_end - line_start);
        if (content.starts_with(field)) {
            content.remove_prefix(field.size());
            const auto first = content.find_first_not_of(' ');
            const auto last = content.find_last_not_of(" \r");
            if (first == std::string_view::npos) {
                return std::nullopt;
            }
            return parse_number(content.substr(first, last - first + 1));
        }
        line_start = line_end + 1;
    }
    return std::nullopt;
}

bool is_comment(std::string_view line) {
    return line.starts_with(':');
}

} // namespace

// An event ends with an empty line after at least one line that is not a comment. Lines end with a
// line feed, optionally preceded by a carriage return. Only the bytes of an incomplete line are
// searched more than once.
std::size_t event_splitter::find_event_end(std::string_view text) {
    for (;;) {
        const auto line_end = text.find('\n', line_start_);
        if (line_end == std::string_view::npos) {
            return std::string_view::npos;
        }
        const auto content = text.substr(line_start_, line_end - line_start_);
        const bool empty = content.empty() || content == "\r";
        if (empty && has_field_) {
            line_start_ = 0;
            has_field_ = false;
            return line_end + 1;
        }
        has_field_ = has_field_ || (!empty && !is_comment(content));
        line_start_ = line_end + 1;
    }
}

bool event_splitter::has_partial_event() const {
    const auto last_line = std::string_view{pending_}.substr(line_start_);
    return has_field_ || (!last_line.empty() && !is_comment(last_line));
}

event_batch event_splitter::append(std::string_view bytes) {
    pending_ += bytes;
    event_batch batch;
    std::size_t begin = 0;
    for (;;) {
        const std::string_view rest = std::string_view{pending_}.substr(begin);
        const auto end = find_event_end(rest);
        if (end == std::string_view::npos) {
            break;
        }
        const auto event = rest.substr(0, end);
        const auto id = parse_event_id(event);
        const bool already_delivered = id && skip_through_ && *id <= *skip_through_;
        if (!already_delivered) {
            batch.bytes += event;
            ++batch.count;
            batch.ends_with_id = id.has_value();
            if (id) {
                batch.last_id = id;
            }
        }
        begin += end;
    }
    pending_.erase(0, begin);
    return batch;
}

} // namespace boragefront::gateway
