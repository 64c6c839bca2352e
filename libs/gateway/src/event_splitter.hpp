/// \file
/// Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace boragefront::gateway {

/// Whole events, as bytes, with the id of the last of them.
struct event_batch {
    std::string bytes;
    std::size_t count{0};
    std::optional<std::uint64_t> last_id; ///< if the last event that has an id has a number
};

/// Collects bytes until an event is whole. Comments pass with the event after them, as they are
/// none themselves. Drops events that were delivered before a resumption.
class event_splitter {
public:
    /// \param after drop events up to this id; nothing drops none.
    explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt) : after_{after} {}

    /// Takes bytes in. \returns the events that they completed.
    event_batch add(std::string_view bytes);

    /// Whether an event has begun that is not whole. Comments alone are none.
    bool mid_event() const;

    /// Comments after the last event, once the stream has ended.
    std::string take_comments() { return std::exchange(pending_, {}); }

    /// Bytes of the event that is not whole.
    std::size_t pending_bytes() const { return pending_.size(); }

private:
    std::size_t end_of_event(std::string_view text);

    std::string pending_;
    std::size_t line_{0};   // where the first line begins in it that may be without its end
    bool has_field_{false}; // whether a line before that one is more than a comment
    std::optional<std::uint64_t> after_;
};

} // namespace boragefront::gateway
