/// \file
/// Order of the tokens of one stream: duplicates are dropped, gaps are errors.
#pragma once

#include "base/error.hpp"

#include <cstdint>

namespace boragefront::execution {

/// Ensures that the caller receives each token once and in order.
class token_sequence {
public:
    /// Processes the index of a received token.
    /// \returns whether to forward it (false: a duplicate); `incomplete_answer` at a gap.
    result<bool> accept(std::uint64_t index);

    /// Processes the token count in the end event.
    /// \returns `incomplete_answer` if it differs from the number of tokens forwarded.
    result<void> end(std::uint64_t count) const;

    /// Number of tokens forwarded.
    std::uint64_t count() const { return next_; }

private:
    std::uint64_t next_{0};
};

} // namespace boragefront::execution
