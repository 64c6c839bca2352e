/// \file
/// Incremental splitting of a stream of server-sent events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace boragefront::gateway {

/// The bytes of complete events, and the id of the last of them.
struct event_batch {
    std::string bytes;
    std::size_t count{0};
    std::optional<std::uint64_t> last_id; ///< of the last event with an id, if that id is a number
    bool ends_with_id{false};             ///< whether the last event has such an id
};

/// Buffers bytes until an event is complete. Comments are no events; they are passed on with the
/// event that follows. Drops events that were delivered before a stream was resumed.
class event_splitter {
public:
    /// \param skip_through drop events up to and including this id; without it none is dropped
    explicit event_splitter(std::optional<std::uint64_t> skip_through = std::nullopt)
        : skip_through_{skip_through} {}

    /// Appends received bytes. \returns the events that they complete.
    event_batch append(std::string_view bytes);

    /// Whether the buffer holds a partial event. Comments alone are not one.
    bool has_partial_event() const;

    /// Comments after the last event, once the stream has ended.
    std::string take_trailing_comments() { return std::exchange(pending_, {}); }

    /// Size of the buffered, incomplete event in bytes.
    std::size_t pending_bytes() const { return pending_.size(); }

private:
    std::size_t find_event_end(std::string_view text);

    std::string pending_;
    std::size_t line_start_{0}; // start of the first line in `pending_` that may be incomplete
    bool has_field_{false};     // whether an earlier line of the event is not a comment
    std::optional<std::uint64_t> skip_through_;
};

} // namespace boragefront::gateway
