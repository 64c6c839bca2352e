/// \file
/// Tracks which endpoint has recently processed which shared prompt prefix.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront::balancing {

/// The most recent location of each shared prompt, for a bounded number of prompts. An engine that
/// serves a prompt for the first time can fetch its cache from there instead of computing it.
class prompt_locations {
public:
    /// Records that an endpoint has processed a prompt.
    void record(std::string_view prompt, const std::string& endpoint, time_point now);

    /// The endpoint that processed a prompt most recently, unless too long ago for it to be cached.
    std::optional<std::string> find(std::string_view prompt, time_point now) const;

    std::size_t size() const { return by_prompt_.size(); }

private:
    struct location {
        std::string prompt;
        std::string endpoint;
        time_point processed_at;
    };
    std::list<location> by_recency_;
    std::map<std::string, std::list<location>::iterator, std::less<>> by_prompt_;
};

} // namespace boragefront::balancing
