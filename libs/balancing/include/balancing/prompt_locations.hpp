/// \file
/// Which endpoint has lately read which shared part of a prompt.
#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront::balancing {

/// The newest location of each shared prompt, for a bounded number of prompts. An engine that has
/// to serve a prompt for the first time can fetch it from there instead of reading it.
class prompt_locations {
public:
    /// Notes that an endpoint has read a prompt.
    void record(std::string_view prompt, const std::string& endpoint, time_point now);

    /// The endpoint that read a prompt last, if that is not long ago.
    std::optional<std::string> find(std::string_view prompt, time_point now) const;

    std::size_t size() const { return by_prompt_.size(); }

private:
    struct location {
        std::string prompt;
        std::string endpoint;
        time_point read_at;
    };
    std::list<location> newest_first_;
    std::map<std::string, std::list<location>::iterator, std::less<>> by_prompt_;
};

} // namespace boragefront::balancing
