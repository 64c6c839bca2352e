#include "exposition.hpp"

#include <cstdlib>
#include <optional>

namespace boragefront::replay {
namespace {

// Takes `name="value"` pairs; values hold no escaped quotes.
std::map<std::string, std::string, std::less<>> parse_labels(std::string_view text) {
    std::map<std::string, std::string, std::less<>> labels;
    while (!text.empty()) {
        const auto equals = text.find("=\"");
        if (equals == std::string_view::npos) {
            break;
        }
        const auto value_at = equals + 2;
        const auto quote = text.find('"', value_at);
        if (quote == std::string_view::npos) {
            break;
        }
        labels.emplace(text.substr(0, equals), text.substr(value_at, quote - value_at));
        text.remove_prefix(std::min(quote + 2, text.size())); // the quote and a comma
    }
    return labels;
}

std::optional<sample> parse_line(std::string_view line) {
    const auto space = line.rfind(' ');
    if (line.starts_with('#') || space == std::string_view::npos || space == 0) {
        return std::nullopt;
    }
    sample read;
    const auto series = line.substr(0, space);
    const auto brace = series.find('{');
    read.name = series.substr(0, brace);
    if (brace != std::string_view::npos && series.ends_with('}')) {
        read.labels = parse_labels(series.substr(brace + 1, series.size() - brace - 2));
    }
    const std::string number{line.substr(space + 1)};
    char* end = nullptr;
    read.value = std::strtod(number.c_str(), &end);
    if (number.empty() || *end != '\0') {
        return std::nullopt;
    }
    return read;
}

} // namespace

std::vector<sample> parse_exposition(std::string_view text) {
    std::vector<sample> samples;
    while (!text.empty()) {
        const auto newline = text.find('\n');
        if (auto read = parse_line(text.substr(0, newline))) {
            samples.push_back(std::move(*read));
        }
        text.remove_prefix(newline == std::string_view::npos ? text.size() : newline + 1);
    }
    return samples;
}

} // namespace boragefront::replay
