/// \file
/// The order of the tokens of one stream: duplicates are dropped, gaps are errors.
#pragma once

#include "base/error.hpp"

#include <cstdint>

namespace boragefront::execution {

/// Checks that the caller gets each token once and in order.
class token_sequence {
public:
    /// Takes the index of a token that arrived.
    /// \returns whether to pass it on (false: a duplicate); `incomplete_answer` at a gap.
    result<bool> accept(std::uint64_t index);

    /// Takes the count at the explicit end.
    /// \returns `incomplete_answer` if it is not the number of tokens passed on.
    result<void> end(std::uint64_t count) const;

    /// Tokens passed on.
    std::uint64_t count() const { return next_; }

private:
    std::uint64_t next_{0};
};

} // namespace boragefront::execution
