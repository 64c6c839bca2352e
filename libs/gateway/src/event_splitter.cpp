#include "event_splitter.hpp"

#include "base/ids.hpp"

namespace boragefront::gateway {
namespace {

std::optional<std::uint64_t> id_of(std::string_view event) {
    constexpr std::string_view field = "id:";
    std::size_t line = 0;
    while (line < event.size()) {
        const auto feed = event.find('\n', line);
        auto content = event.substr(line, feed - line);
        if (content.starts_with(field)) {
            content.remove_prefix(field.size());
            const auto first = content.find_first_not_of(' ');
            const auto last = content.find_last_not_of(" \r");
            if (first == std::string_view::npos) {
                return std::nullopt;
            }
            return parse_number(content.substr(first, last - first + 1));
        }
        line = feed + 1;
    }
    return std::nullopt;
}

bool is_comment(std::string_view line) {
    return line.starts_with(':');
}

} // namespace

// An event ends with an empty line after at least one that is no comment; lines end with a line
// feed, which a carriage return may precede. No byte is searched twice but those of one line.
std::size_t event_splitter::end_of_event(std::string_view text) {
    for (;;) {
        const auto feed = text.find('\n', line_);
        if (feed == std::string_view::npos) {
            return std::string_view::npos;
        }
        const auto content = text.substr(line_, feed - line_);
        const bool empty = content.empty() || content == "\r";
        if (empty && has_field_) {
            line_ = 0;
            has_field_ = false;
            return feed + 1;
        }
        has_field_ = has_field_ || (!empty && !is_comment(content));
        line_ = feed + 1;
    }
}

bool event_splitter::mid_event() const {
    const auto last_line = std::string_view{pending_}.substr(line_);
    return has_field_ || (!last_line.empty() && !is_comment(last_line));
}

event_batch event_splitter::add(std::string_view bytes) {
    pending_ += bytes;
    event_batch batch;
    std::size_t begin = 0;
    for (;;) {
        const std::string_view rest = std::string_view{pending_}.substr(begin);
        const auto end = end_of_event(rest);
        if (end == std::string_view::npos) {
            break;
        }
        const auto event = rest.substr(0, end);
        const auto id = id_of(event);
        const bool repeated = id && after_ && *id <= *after_;
        if (!repeated) {
            batch.bytes += event;
            ++batch.count;
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
