/// \file
#include "execution/token_sequence.hpp"

#include <string>

namespace boragefront::execution {
namespace {

error gap(std::uint64_t expected, std::uint64_t found) {
    return make_error(error_kind::incomplete_answer, "expected token " + std::to_string(expected) +
                                                         ", found " + std::to_string(found));
}

} // namespace

result<bool> token_sequence::accept(std::uint64_t index) {
    if (index > next_) {
        return gap(next_, index);
    }
    if (index < next_) {
        return false;
    }
    ++next_;
    return true;
}

result<void> token_sequence::end(std::uint64_t count) const {
    if (count != next_) {
        return gap(next_, count);
    }
    return success();
}

} // namespace boragefront::execution
