#include "stages/piece.hpp"

#include <algorithm>
#include <array>

namespace boragefront::stages {

std::string_view to_string(piece_outcome outcome) {
    constexpr std::array names{std::string_view{"made"}, std::string_view{"late"},
                               std::string_view{"input_gone"}, std::string_view{"no_room"},
                               std::string_view{"failed"}};
    return names.at(static_cast<std::size_t>(outcome));
}

bool all_made(const std::vector<piece_result>& results) {
    const auto was_made = [](const piece_result& result) {
        return result.outcome == piece_outcome::made;
    };
    return !results.empty() && std::all_of(results.begin(), results.end(), was_made);
}

} // namespace boragefront::stages
