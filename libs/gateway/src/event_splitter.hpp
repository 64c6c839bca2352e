/// \file
/// Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront::gateway {

/// Whole events, as bytes, with the id of the last of them.
struct event_batch {
    std::string bytes;
    std::size_t count{0};
    std::optional<std::uint64_t> last_id; ///< if the last event that has an id has a number
};

/// Collects bytes until an event is whole. Drops events that were delivered before a resumption.
class event_splitter {
public:
    /// \param after drop events up to this id; nothing drops none.
    explicit event_splitter(std::optional<std::uint64_t> after = std::nullopt) : after_{after} {}

    /// Takes bytes in. \returns the events that they completed.
    event_batch add(std::string_view bytes);

    /// Whether an event has begun that is not whole.
    bool mid_event() const { return !pending_.empty(); }

private:
    std::string pending_;
    std::optional<std::uint64_t> after_;
};

} // namespace boragefront::gateway
