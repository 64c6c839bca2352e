/// \file
/// Reads the text exposition format of metrics.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace boragefront::replay {

/// One line of an exposition.
struct sample {
    std::string name;
    std::map<std::string, std::string, std::less<>> labels;
    double value{0.0};
};

/// The samples of a text; lines that are not samples are passed over.
std::vector<sample> parse_exposition(std::string_view text);

} // namespace boragefront::replay
