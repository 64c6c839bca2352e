/// \file
/// Reads an entry's server-sent events and tells whether the stream was whole.
#pragma once

#include "base/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront::replay {

/// What the lines of a stream have told so far.
class token_stream {
public:
    /// \param marker that each token must carry; empty asks for none.
    explicit token_stream(std::string marker) : marker_{std::move(marker)} {}

    /// Takes the next line of the body.
    void take_line(std::string_view line);

    std::uint64_t tokens() const { return tokens_; }

    /// How the stream ended: "answer" only if it had its explicit end with the right count.
    std::string outcome() const;

    /// The error event, if one came.
    const std::optional<error>& failure() const { return failure_; }

private:
    void take_event(std::string_view data);
    void take_token(std::string_view data);
    void take_end(std::string_view data);

    std::string marker_;
    std::string event_;
    std::string data_;
    std::uint64_t tokens_{0};
    bool foreign_{false};
    bool unreadable_{false};
    bool ended_{false};
    std::optional<error> failure_;
};

} // namespace boragefront::replay
