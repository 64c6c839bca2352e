#include "stages/piece.hpp"

#include <array>

namespace boragefront::stages {

std::string_view to_string(piece_outcome outcome) {
    constexpr std::array names{std::string_view{"made"}, std::string_view{"late"},
                               std::string_view{"input_gone"}, std::string_view{"no_room"},
                               std::string_view{"failed"}};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace boragefront::stages
