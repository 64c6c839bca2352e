/// \file
/// Framing of calls on a TCP connection: request/reply of the scalability protocols, as nng speaks
/// it. Each side first sends a greeting that names its half of the protocol; after that each
/// message follows its length.
#pragma once

#include "base/error.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragefront::wire {

inline constexpr std::size_t greeting_bytes = 8;
inline constexpr std::size_t length_bytes = 8;
inline constexpr std::size_t call_id_bytes = 4;

/// Bytes that framing adds to each message.
inline constexpr std::size_t framing_bytes = length_bytes + call_id_bytes;

/// Most messages are shorter. Memory of this size is reserved for one that begins to arrive.
inline constexpr std::size_t typical_message_bytes = 16U << 10U;

/// Which half of the protocol a side speaks.
enum class side : std::uint16_t { caller = 0x30, answerer = 0x31 };

using greeting = std::array<std::uint8_t, greeting_bytes>;

/// The greeting that a side sends.
greeting greeting_of(side speaker);

/// Identifies a call on its connection. The highest bit is set on the wire.
using call_id = std::uint32_t;
inline constexpr call_id call_id_flag = 0x8000'0000U;

/// A call's or answer's message with its framing, ready to be written.
std::string frame(call_id id, std::string_view body);

/// Reads the length of a framed message, without the length itself.
/// \returns `bad_request` for a message that has no room for a call's id or exceeds the limit.
result<std::size_t> read_length(const std::array<std::uint8_t, length_bytes>& bytes);

/// A received message: the call's id and the body.
struct framed_message {
    call_id id{0};
    std::string_view body;
};

/// Reads a received message without its length.
/// \returns nothing if it does not begin with a call's id.
std::optional<framed_message> read_message(std::string_view bytes);

} // namespace boragefront::wire
