/// \file
/// A time limit that may be replaced while waits are in progress.
#pragma once

#include "base/time.hpp"

#include <vector>

namespace boragefront::http {

/// Gives each wait the longest limit that its peer may go by: a raised limit applies to waits in
/// progress, a lowered one to waits that begin when peers know it.
class changing_limit {
public:
    explicit changing_limit(milliseconds limit) : current_{limit} {}

    void replace(milliseconds limit, time_point now);

    /// The longest limit that peers may have known since `began`, the start of a wait.
    milliseconds longest_since(time_point began) const;

private:
    struct replaced_limit {
        milliseconds limit;
        time_point until; ///< when peers know that it was replaced
    };

    milliseconds current_;
    std::vector<replaced_limit> replaced_; // the longest first, and the latest last
};

} // namespace boragefront::http
